"""Adapter to the platform: translates names, formats and calls only."""
