"""Times of the limits, and the share of a limit that is never lent."""

from dataclasses import dataclass

SECOND_NS = 10**9


@dataclass(frozen=True)
class LimitsConfig:
    """Times are ns by a member's own clock.

    Attributes:
        request_period: Between two quota requests of a member: demand that is followed soon, against
            messages.
        lease_term: That the leader's lease lasts, and that a loan may be used to raise proxies: four lost
            messages in a row.
        clock_drift: Share by which a clock runs too fast or too slow, at most.
        floor_share: Share of a limit that is divided evenly among the members and never lent: what each may
            use whatever fails.
    """

    request_period: int = 1 * SECOND_NS
    lease_term: int = 5 * SECOND_NS
    clock_drift: float = 0.01
    floor_share: float = 0.05

    @property
    def drift_adjusted_term(self):
        """The time, ns by any member's clock, in which another's term has surely ended.

        That member's clock may be slow, and the one by which this is measured fast.
        """
        return int(self.lease_term * (1 + self.clock_drift) / (1 - self.clock_drift)) + 1


DEFAULT_CONFIG = LimitsConfig()
