"""Errors of a controller's parts."""


class SettingsError(ValueError):
    """A setting can't be read or used; the text names it and its key."""


class NotFiniteError(ValueError):
    """A number is infinite or none (NaN); the text is the number's."""
