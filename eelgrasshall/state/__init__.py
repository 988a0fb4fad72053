"""What a process holds: configuration, directory, tickets, leases."""
