"""The HTTP path of an entry host: routes, backend servers, peers and belief."""
