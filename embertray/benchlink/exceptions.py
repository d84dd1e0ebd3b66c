"""Errors of the adapter."""


class WireError(Exception):
    """A line of the wire is malformed or stands where it may not; the text says what of it."""
