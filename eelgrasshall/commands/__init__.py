"""The command-line tool, one module for each command."""
