"""Errors of a controller's parts."""


class SettingsError(ValueError):
    """A setting can't be read or used; the message names its value and its key."""


class NotFiniteError(ValueError):
    """A number is infinite or NaN; the message is the number's text."""
