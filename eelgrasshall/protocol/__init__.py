"""Message types and codecs; performs no I/O."""
