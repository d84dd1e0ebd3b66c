"""Transports: loopback addresses, TCP on them, framed connections, and a clock. Nothing is decided here."""
