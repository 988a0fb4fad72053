"""The load and measuring tool."""
