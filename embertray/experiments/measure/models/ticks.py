"""A pace for models."""


class Ticks:
    """A pace in whole ticks."""

    term, outer, period = 2, 3, 1
