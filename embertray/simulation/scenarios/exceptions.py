"""Exceptions of scenarios."""


class DayError(ValueError):
    """The text is not a valid day, or the day cannot be played in the requested mode.

    The message names file, line, column and what was expected.
    """
