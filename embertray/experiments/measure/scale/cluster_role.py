"""Hollow members of a cluster: true links, no proxies behind them."""

from collections import namedtuple

from embertray.cluster.link import ClusterLink
from embertray.common.net.clock import LoopClock
from embertray.service.site import ClusterSettings

from .meter import Counters

UNLIMITED = 1 << 24  # bytes of state, and bytes a second for it: what is measured is the want, not the cap
MARK = "mark"  # key of the entry that is written to be seen by all

Me = namedtuple("Me", "name cluster")


class ClusterMember:
    """One link, with facts that are as large as a controller's."""

    def __init__(self, name, plan):
        self.name, self.plan, self.clock = name, plan, LoopClock()
        self.facts = b"f" * plan.facts_bytes
        self.link, self.delays = None, {}

    async def run(self):
        addresses, unlimited = self.plan.all_addresses, UNLIMITED
        peers = [address for other, address in addresses.items() if other != self.name]
        self.link = ClusterLink(
            ClusterSettings("scale", self.plan.period, unlimited, unlimited),
            Me(self.name, addresses[self.name]),
            peers,
            self.clock,
            1,
            lambda: {"facts": self.facts},
        )
        await self.link.run()

    async def mark(self, mark):
        if self.name == self.plan.marker:
            self.link.store.put(self.clock.now(), MARK, str(mark).encode())

    def look(self, now):
        """Notes when a mark is seen first."""
        if self.link is None:
            return
        held = self.link.store.entries.get((self.plan.marker, MARK))
        if held is not None:
            self.delays.setdefault(int(held.value), now - int(held.value))

    def counters(self):
        counters = self.link.counters
        state = counters.state_bytes_sent
        parts = {"state": state, "probes": counters.bytes_sent - state}
        return Counters(counters.bytes_sent, counters.bytes_received, counters.sent, parts)

    def seen(self):
        return self.link.membership.members.active_count + 1

    def oldest(self, now):
        """ns; None if it lacks a member's facts."""
        ages = [known.age_ns for known in self.link.store.latest_values(now, "facts")]
        return max(ages) if len(ages) >= self.seen() else None

    def failures(self):
        return self.link.counters.exchanges_failed


def members(plan):
    return [ClusterMember(name, plan) for name in plan.names]
