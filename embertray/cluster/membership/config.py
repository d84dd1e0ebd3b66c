"""Periods, timeouts and sizes of the failure detector."""

from dataclasses import dataclass
from math import ceil, log2, log10

MS_NS = 10**6
SECOND_NS = 10**9

RECONNECT_PERIODS = 5  # probe periods between two reconnection attempts


@dataclass(frozen=True)
class MembershipConfig:
    """Settings of the failure detector; times are ns. The defaults fit one site on one network.

    Attributes:
        probe_period: Time between two probes.
        probe_timeout: Time until indirect probes are requested for a direct probe without an Ack. Longer than
            a pause of a garbage collector or of the scheduler.
        indirect_probes: Number of members that are asked for an indirect probe.
        suspicion_multiplier: Factor of the minimum suspicion timeout, which is the probe period times this
            factor and log10 of the number of members.
        unconfirmed_factor: The suspicion timeout without confirmations, in minimum suspicion timeouts. It is
            longer so that a fault of the suspecting member does not pass for one of the suspected member.
        confirmations: Number of suspicions by others at which the timeout reaches its minimum.
        retransmit_multiplier: Factor of the number of times that a statement is gossiped, which is this
            factor times log2 of the number of members.
        gossip_bytes: Bytes of statements in a message; with the header it fits a datagram of 1,400 bytes.
        max_health_score: Maximum of the local health score, by which a slow member extends its timeouts.
        reconnect_period: Time between two attempts to reach seeds and dead members. The sides of a network
            partition merge again by these attempts.
        departed_retention: How long a member that is dead or has left is remembered. Longer than partitions
            that heal by themselves.
        pause_threshold: A step that is later than this plus a probe period means that this process was
            paused.
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
        """Return a configuration whose timeouts are scaled to a probe period.

        Args:
            probe_period: Time between two probes, ns.
        """
        return cls(
            probe_period=probe_period,
            probe_timeout=probe_period * 3 // 10,
            reconnect_period=RECONNECT_PERIODS * probe_period,
        )

    def min_suspicion_timeout(self, members):
        """Return the suspicion timeout with enough confirmations.

        Args:
            members: Number of active members, this one included.

        Returns:
            The timeout, ns.
        """
        return int(self.suspicion_multiplier * max(1.0, log10(max(1, members))) * self.probe_period)

    def suspicion_timeout(self, members, others):
        """Return the time from a suspicion until the member is declared dead.

        As in Lifeguard it decreases with the logarithm of the number of confirmations, from
        `unconfirmed_factor` minimum timeouts to one.

        Args:
            members: Number of active members, this one included.
            others: Number of other members that suspect it.

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
        """Return how many times a statement is gossiped.

        Args:
            members: Number of active members, this one included.
        """
        return ceil(self.retransmit_multiplier * log2(members + 1))


DEFAULT_CONFIG = MembershipConfig()
