"""Eelgrasshall: a query tier that gives one trustworthy answer per search."""
