"""Hollow replicas and subscribers of the control plane: true servers and clients, no proxies behind them."""

import random

import anyio

from embertray.cluster.replication.exceptions import OutcomeUnknownError, WriteRejectedError
from embertray.cluster.replication.link import (
    ReplicaServer,
    ReplicaSettings,
    SubscriberClient,
    SubscriberSettings,
)
from embertray.common.net.clock import LoopClock

from .meter import Counters

MARK = "mark"  # key of the entry that is written to be seen by all


def counters(traffic):
    return Counters(traffic.bytes_out, traffic.bytes_in, traffic.messages_out, {})


class ReplicaMember:
    """One replica; the leader writes the keys first, then the marks."""

    def __init__(self, name, plan):
        settings = ReplicaSettings("scale", name, plan.peers, plan.listen[name])
        self.name, self.plan, self.clock, self.delays = name, plan, LoopClock(), {}
        self.server = ReplicaServer(settings, self.clock, random.Random(name))
        self.refused = 0

    async def run(self):
        async with anyio.create_task_group() as group:
            group.start_soon(self.server.run)
            await self.fill()

    async def fill(self):
        """Writes the keys, whoever leads by then."""
        value = b"v" * self.plan.value_bytes
        for number in range(self.plan.keys):
            while not await self.write(f"key-{number}", value, f"fill-{number}"):
                if f"fill-{number}" in self.server.replica.store.requests:
                    break  # another replica led, and wrote it
                await anyio.sleep(0.2)

    async def write(self, key, value, request):
        """Whether this replica wrote it: only the leader does."""
        replica = self.server.replica
        if replica is None or not replica.has_majority(self.clock.now()):
            await anyio.sleep(0.2)
            return False
        try:
            await self.server.put(key, value, request)
        except (WriteRejectedError, OutcomeUnknownError):
            self.refused += 1
            return False
        return True

    async def mark(self, mark):
        if self.server.replica.has_majority(self.clock.now()):
            await self.write(MARK, str(mark).encode().ljust(self.plan.value_bytes), f"mark-{mark}")

    def look(self, now):
        """Its delays are those of its subscribers."""

    def counters(self):
        return counters(self.server.traffic)

    def seen(self):
        return len(self.server.feed.subscriptions)

    def oldest(self, now):
        return self.server.age()

    def failures(self):
        return self.refused + self.server.traffic.rejected


class SubscriberMember:
    """One subscriber; what it applies is looked at for marks."""

    def __init__(self, name, plan, follows):
        settings = SubscriberSettings("scale", name, {replica: plan.listen[replica] for replica in follows})
        self.name, self.clock, self.delays = name, LoopClock(), {}
        self.client = SubscriberClient(settings, self.clock, random.Random(name), self.applied)

    async def run(self):
        await self.client.run()

    async def mark(self, mark):
        """Replicas write."""

    def applied(self, entries):
        now = self.clock.now()
        for entry in entries:
            if entry.key == MARK and entry.value is not None:
                mark = int(entry.value)
                self.delays.setdefault(mark, now - mark)

    def look(self, now):
        """Marks are noted as they are applied."""

    def counters(self):
        return counters(self.client.traffic)

    def seen(self):
        return int(self.client.subscriber.connected)

    def oldest(self, now):
        return self.client.age()

    def failures(self):
        return self.client.traffic.rejected + self.client.traffic.dropped


def replicas(plan):
    return [ReplicaMember(name, plan) for name in plan.names]


def subscribers(plan):
    return [
        SubscriberMember(name, plan, follows) for name, follows in zip(plan.names, plan.follows, strict=True)
    ]
