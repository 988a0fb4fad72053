"""Decisions that a process makes on its own or together with its peers."""
