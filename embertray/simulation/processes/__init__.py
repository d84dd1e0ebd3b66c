"""True processes of the program on loopback, and the links between them, which break as a play says."""
