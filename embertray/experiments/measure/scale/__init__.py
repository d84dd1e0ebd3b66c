"""Scale tests with hollow members: real protocol cores and sockets on loopback, many in one process."""
