"""The operators' platform: its protocol without I/O, and the controller that `run` starts."""
