"""The command-line tool, with one module per command."""
