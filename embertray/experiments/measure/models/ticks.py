"""A pace for models."""


class Ticks:
    """A pace in whole ticks."""

    lease_term, drift_adjusted_term, request_period = 2, 3, 1
