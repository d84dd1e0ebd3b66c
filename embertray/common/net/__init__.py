"""Transports: addresses, TCP, queued connections, HTTP calls, and a clock."""
