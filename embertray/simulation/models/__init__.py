"""Models of what the controller serves: one truth for stand-ins and emulator; no I/O."""
