"""Transports: addresses, TCP, queued connections, HTTP calls, and a clock. They make no decisions."""
