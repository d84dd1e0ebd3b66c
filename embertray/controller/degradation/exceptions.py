"""Errors of the degradation package."""


class UnknownLevelError(ValueError):
    """An operator named an unknown degradation level; the message lists the known ones."""


class NormalLevelError(ValueError):
    """An operator tried to forbid the normal level, which has no milder level to replace it."""
