"""Decisions that a process makes, alone or together with its peers."""
