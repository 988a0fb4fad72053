"""Network I/O with callers, backend servers, peers and the platform."""
