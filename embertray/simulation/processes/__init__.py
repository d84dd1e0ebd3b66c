"""True processes of the program on loopback, and the links between them, which the rig holds and breaks."""
