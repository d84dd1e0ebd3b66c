"""Errors of the stand-ins."""


class StalledError(RuntimeError):
    """Nothing is planned at any time: a run in virtual time would hang for ever."""
