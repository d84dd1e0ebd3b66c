"""Errors of the channel package."""


class PaceOutOfRangeError(ValueError):
    """An operator asked for a channel pace that is not over 0 and 1 at most."""
