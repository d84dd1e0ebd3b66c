"""Settings of the fleet-wide limits."""

from dataclasses import dataclass

SECOND_NS = 10**9


@dataclass(frozen=True)
class LimitsConfig:
    """Settings of the fleet-wide limits; times are ns by a member's own clock.

    Attributes:
        request_period: Time between two quota requests of a member: a shorter one follows demand sooner, but
            costs more messages.
        lease_term: Duration of the leader's lease, and time during which a grant may be used to raise the
            quotas of proxies. It tolerates four lost messages in a row.
        clock_drift: Maximum relative error of a clock's rate, as a fraction.
        floor_share: Fraction of a limit that is divided evenly among the members and never granted. Each
            member may use its floor whatever fails.
    """

    request_period: int = 1 * SECOND_NS
    lease_term: int = 5 * SECOND_NS
    clock_drift: float = 0.01
    floor_share: float = 0.05

    @property
    def drift_adjusted_term(self):
        """The time after which another member's lease term has certainly ended, ns by any member's clock.

        That member's clock may be slow, and the clock by which this time is measured may be fast.
        """
        return int(self.lease_term * (1 + self.clock_drift) / (1 - self.clock_drift)) + 1


DEFAULT_CONFIG = LimitsConfig()
