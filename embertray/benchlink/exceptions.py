"""Errors of the adapter."""


class WireError(Exception):
    """A line of the wire is malformed or out of place; the text names the reason."""
