"""The detector's times and sizes, in one place: value, unit, reason."""

from dataclasses import dataclass
from math import ceil, log2, log10

MS, S = 10**6, 10**9


@dataclass(frozen=True)
class MembershipConfig:
    """Times are ns. Defaults fit one site's machines on one network."""

    probe_period: int = 1 * S  # between two probes: bytes and CPU against time to detect
    probe_timeout: int = 300 * MS  # for a direct answer: past any pause of a collector or a scheduler's slice
    indirect_probes: int = 3  # members asked to probe in our place: three lost ways at 30% each are 3 in 100
    suspicion_multiplier: float = 4.0  # x log10 of the members x period, at least: time to deny a suspicion
    unconfirmed_factor: float = 6.0  # x that, as long as nobody else suspects: one's own trouble is no proof
    confirmations: int = 3  # others' suspicions that bring it down to the least
    retransmit_multiplier: float = (
        4.0  # x log2 of the members: how often a statement is handed on, past any loss here
    )
    gossip_bytes: int = 1100  # bytes of statements in a message: with its head under one datagram of 1,400
    max_health_steps: int = 8  # most steps that a member in trouble itself slows down by
    reconnect_period: int = (
        5 * S
    )  # between two pings to a seed or to one that is taken for dead: a split's end is seen
    departed_retention: int = (
        600 * S
    )  # one that is dead or has left is remembered: past any split that heals by itself
    pause_threshold: int = 2 * S  # a step so late means that we stood still, and not the others

    def min_suspicion_timeout(self, members):
        """ns from a suspicion to a death, when enough others suspect too."""
        return int(self.suspicion_multiplier * max(1.0, log10(max(1, members))) * self.probe_period)

    def suspicion_timeout(self, members, others):
        """ns from a suspicion to a death, while `others` suspect it beside us."""
        least, wanted = self.min_suspicion_timeout(members), min(self.confirmations, members - 2)
        if wanted <= 0:
            return least
        part = log2(min(others, wanted) + 1) / log2(wanted + 1)
        return int(least * (self.unconfirmed_factor - (self.unconfirmed_factor - 1) * part))

    def retransmissions(self, members):
        """How often a statement is handed on."""
        return ceil(self.retransmit_multiplier * log2(members + 1))


DEFAULT_CONFIG = MembershipConfig()
