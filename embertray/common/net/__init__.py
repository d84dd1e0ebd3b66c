"""Transports: addresses, TCP, queued connections, HTTP calls, and a clock. Nothing is decided here."""
