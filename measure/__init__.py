"""Load generator and measurement tool."""
