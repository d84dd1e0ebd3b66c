"""Errors of the stand-ins."""


class StalledError(RuntimeError):
    """No task can run and no timer is set: a run in virtual time would wait for ever."""
