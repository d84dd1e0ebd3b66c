"""Hollow members of a cluster: real cluster links without proxies behind them."""

from collections import namedtuple

from embertray.cluster.link import ClusterLink
from embertray.common.net.clock import LoopClock
from embertray.service.site import ClusterSettings

from .meter import Counters

UNREACHED_CAP = 1 << 24  # bytes, and bytes/s: caps so high that the demand is measured
MARK = "mark"  # key of the entry whose time until all members see it is measured

MemberAddress = namedtuple("MemberAddress", "name cluster")


class ClusterMember:
    """One cluster link whose facts have the size of a controller's."""

    def __init__(self, name, plan):
        self.name, self.plan, self.clock = name, plan, LoopClock()
        self.facts = b"f" * plan.facts_bytes
        self.link, self.delays = None, {}

    async def run(self):
        """Runs the link until it is cancelled."""
        addresses, cap = self.plan.all_addresses, UNREACHED_CAP
        peers = [address for other, address in addresses.items() if other != self.name]
        self.link = ClusterLink(
            ClusterSettings("scale", self.plan.period, cap, cap),
            MemberAddress(self.name, addresses[self.name]),
            peers,
            self.clock,
            1,
            lambda: {"facts": self.facts},
        )
        await self.link.run()

    async def mark(self, mark):
        """Writes a mark if this member is the one that writes them."""
        if self.name == self.plan.marker:
            self.link.store.put(self.clock.now(), MARK, str(mark).encode())

    def check_marks(self, now):
        """Records the delay in ns of a mark that is seen for the first time."""
        if self.link is None:
            return
        entry = self.link.store.entries.get((self.plan.marker, MARK))
        if entry is not None:
            self.delays.setdefault(int(entry.value), now - int(entry.value))

    def counters(self):
        """Returns the link's totals; bytes sent are divided into state and probes."""
        counters = self.link.counters
        state = counters.state_bytes_sent
        parts = {"state": state, "probes": counters.bytes_sent - state}
        return Counters(counters.bytes_sent, counters.bytes_received, counters.sent, parts)

    def seen(self):
        """Returns the number of members it takes to be alive, itself included."""
        return self.link.membership.members.active_count + 1

    def oldest(self, now):
        """Returns the greatest age of a member's facts in ns; None if it lacks some."""
        ages = [known.age_ns for known in self.link.store.latest_values(now, "facts")]
        return max(ages) if len(ages) >= self.seen() else None

    def failures(self):
        """Returns the number of failed exchanges."""
        return self.link.counters.exchanges_failed


def members(plan):
    """Returns the members of a ClusterPlan."""
    return [ClusterMember(name, plan) for name in plan.names]
