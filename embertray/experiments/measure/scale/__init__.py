"""Scale tests: hollow members, the true cores with sockets of their own on loopback, many to a process."""
