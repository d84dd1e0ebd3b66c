"""Real embertray processes on loopback, and relays between them that inject network faults."""
