"""Timing of the limits for models."""


class TickTiming:
    """Lease and request times in whole ticks."""

    lease_term, drift_adjusted_term, request_period = 2, 3, 1
