"""Errors of the channel package."""


class PaceOutOfRangeError(ValueError):
    """An operator asked for a channel pace that is not above 0 and at most 1."""
