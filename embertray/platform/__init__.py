"""Integration with the operators' platform: its protocol without I/O, and the controller process."""
