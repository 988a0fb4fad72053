"""Declaring programs of full size, to start one's own from."""
