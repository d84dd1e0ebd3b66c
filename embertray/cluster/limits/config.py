"""Times of the limits, in one place: value, unit, reason."""

from dataclasses import dataclass

S = 10**9


@dataclass(frozen=True)
class LimitsConfig:
    """Times are ns by a member's own clock."""

    request_period: int = 1 * S  # between two asks: what follows demand, against messages
    lease_term: int = (
        5 * S
    )  # that a loan may be raised on, and that the leader's lease lasts: four lost messages in a row
    clock_drift: float = 0.01  # clocks run so much too fast or too slow at the most
    floor_share: float = (
        0.05  # of a limit, divided evenly and never moved: what each one may use whatever breaks
    )

    @property
    def outer_term(self):
        """ns by any clock in which another's `term` has surely passed: theirs may be slow and ours fast."""
        return int(self.lease_term * (1 + self.clock_drift) / (1 - self.clock_drift)) + 1


DEFAULT_CONFIG = LimitsConfig()
