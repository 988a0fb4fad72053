"""Sockets: callers, backend servers, peers and the platform."""
