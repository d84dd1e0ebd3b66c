"""Times and sizes of the failure detector, and the timeouts that follow from them."""

from dataclasses import dataclass
from math import ceil, log2, log10

MS_NS = 10**6
SECOND_NS = 10**9

RECONNECT_PERIODS = 5  # probe periods between two attempts to reach lost members


@dataclass(frozen=True)
class MembershipConfig:
    """Times are ns. The defaults fit the machines of one site on one network.

    Attributes:
        probe_period: Between two probes.
        probe_timeout: For the answer to a direct probe, before indirect probes are requested: longer than a
            pause of a garbage collector or of a scheduler.
        indirect_probes: Members that are asked to probe in this one's place.
        suspicion_multiplier: The least suspicion timeout, in probe periods times log10 of the members.
        unconfirmed_factor: The suspicion timeout as long as nobody else suspects, in least timeouts: a fault
            of the observer must not look like one of the observed.
        confirmations: Suspicions by others that bring the timeout down to the least.
        retransmit_multiplier: How often a statement is gossiped, times log2 of the members.
        gossip_bytes: Bytes of statements in a message: with the header it fits a datagram of 1,400 bytes.
        max_health_score: Steps by which a member that is slow itself stretches its timeouts, at most.
        reconnect_period: Between two attempts to reach seeds and dead members, which is how the sides of a
            network partition find each other again.
        departed_retention: How long a member that is dead or has left is remembered: longer than partitions
            that heal by themselves.
        pause_threshold: A step that is later than this, and a probe period, means that this process stood
            still.
    """

    probe_period: int = 1 * SECOND_NS
    probe_timeout: int = 300 * MS_NS
    indirect_probes: int = 3
    suspicion_multiplier: float = 4.0
    unconfirmed_factor: float = 6.0
    confirmations: int = 3
    retransmit_multiplier: float = 4.0
    gossip_bytes: int = 1100
    max_health_score: int = 8
    reconnect_period: int = 5 * SECOND_NS
    departed_retention: int = 600 * SECOND_NS
    pause_threshold: int = 2 * SECOND_NS

    @classmethod
    def for_period(cls, probe_period):
        """Return a configuration whose timeouts follow from its probe period.

        Args:
            probe_period: Between two probes, ns.
        """
        return cls(
            probe_period=probe_period,
            probe_timeout=probe_period * 3 // 10,
            reconnect_period=RECONNECT_PERIODS * probe_period,
        )

    def min_suspicion_timeout(self, members):
        """Return the suspicion timeout when enough others suspect, too.

        Args:
            members: Active members, this one included.

        Returns:
            The timeout, ns.
        """
        return int(self.suspicion_multiplier * max(1.0, log10(max(1, members))) * self.probe_period)

    def suspicion_timeout(self, members, others):
        """Return the time from a suspicion until the member is taken for dead.

        Rule: it shrinks with the logarithm of the confirmations, from `unconfirmed_factor` least timeouts to
        one, as in Lifeguard.

        Args:
            members: Active members, this one included.
            others: Members that suspect it beside this one.

        Returns:
            The timeout, ns.
        """
        min_timeout = self.min_suspicion_timeout(members)
        needed_confirmations = min(self.confirmations, members - 2)
        if needed_confirmations <= 0:
            return min_timeout
        confirmed_share = log2(min(others, needed_confirmations) + 1) / log2(needed_confirmations + 1)
        return int(min_timeout * (self.unconfirmed_factor - (self.unconfirmed_factor - 1) * confirmed_share))

    def retransmissions(self, members):
        """Return how often a statement is gossiped.

        Args:
            members: Active members, this one included.
        """
        return ceil(self.retransmit_multiplier * log2(members + 1))


DEFAULT_CONFIG = MembershipConfig()
