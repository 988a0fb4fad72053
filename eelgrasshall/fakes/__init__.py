"""Small stand-ins for the outside systems, for tests, demo and measuring."""
