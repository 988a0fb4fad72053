"""In-memory state: configuration, members, servers, snapshots, tickets."""
