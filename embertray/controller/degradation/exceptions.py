"""Errors of the degradation package."""


class UnknownLevelError(ValueError):
    """An operator named a degradation level that there is not; the text lists those that there are."""


class NormalLevelError(ValueError):
    """An operator forbade the normal level: there is no milder one to take its place."""
