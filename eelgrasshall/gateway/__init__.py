"""The HTTP gateway of an entry host: routes, backend servers and peers."""
