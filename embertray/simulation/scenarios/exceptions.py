"""The errors of scenarios."""


class DayError(ValueError):
    """The text is no day, or the day can't be played in the way asked for.

    The message names file, line, column and what was expected.
    """
