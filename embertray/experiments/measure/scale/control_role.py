"""Hollow replicas and subscribers of the control plane: real servers and clients without proxies."""

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

MARK = "mark"  # key of the entry whose time until all subscribers see it is measured


def counters(traffic):
    """Returns the totals of a replica's or subscriber's traffic."""
    return Counters(traffic.bytes_out, traffic.bytes_in, traffic.messages_out, {})


class ReplicaMember:
    """One replica; the leader writes first the keys, then the marks."""

    def __init__(self, name, plan):
        settings = ReplicaSettings("scale", name, plan.peers, plan.listen[name])
        self.name, self.plan, self.clock, self.delays = name, plan, LoopClock(), {}
        self.server = ReplicaServer(settings, self.clock, random.Random(name))
        self.rejected_writes = 0

    async def run(self):
        """Runs the server and writes the keys while this replica leads."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.server.run)
            await self.write_keys()

    async def write_keys(self):
        """Writes the keys; each is written by whichever replica leads at that time."""
        value = b"v" * self.plan.value_bytes
        for number in range(self.plan.keys):
            while not await self.write(f"key-{number}", value, f"fill-{number}"):
                if f"fill-{number}" in self.server.replica.store.requests:
                    break  # written by another replica while it led
                await anyio.sleep(0.2)

    async def write(self, key, value, request):
        """Writes a value if this replica leads; returns whether it did."""
        replica = self.server.replica
        if replica is None or not replica.has_majority(self.clock.now()):
            await anyio.sleep(0.2)
            return False
        try:
            await self.server.put(key, value, request)
        except (WriteRejectedError, OutcomeUnknownError):
            self.rejected_writes += 1
            return False
        return True

    async def mark(self, mark):
        """Writes a mark if this replica leads."""
        if self.server.replica.has_majority(self.clock.now()):
            await self.write(MARK, str(mark).encode().ljust(self.plan.value_bytes), f"mark-{mark}")

    def check_marks(self, now):
        """Does nothing: delays are measured at the subscribers."""

    def counters(self):
        """Returns the totals of its traffic."""
        return counters(self.server.traffic)

    def seen(self):
        """Returns the number of its subscribers."""
        return len(self.server.feed.subscriptions)

    def oldest(self, now):
        """Returns the age of its state in ns."""
        return self.server.age()

    def failures(self):
        """Returns the number of rejected writes and messages."""
        return self.rejected_writes + self.server.traffic.rejected


class SubscriberMember:
    """One subscriber, which records the delay of each mark it applies."""

    def __init__(self, name, plan, follows):
        settings = SubscriberSettings("scale", name, {replica: plan.listen[replica] for replica in follows})
        self.name, self.clock, self.delays = name, LoopClock(), {}
        self.client = SubscriberClient(settings, self.clock, random.Random(name), self.on_applied)

    async def run(self):
        """Runs the client until it is cancelled."""
        await self.client.run()

    async def mark(self, mark):
        """Does nothing: replicas write the marks."""

    def on_applied(self, entries):
        """Records the delay in ns of marks that are applied for the first time."""
        now = self.clock.now()
        for entry in entries:
            if entry.key == MARK and entry.value is not None:
                mark = int(entry.value)
                self.delays.setdefault(mark, now - mark)

    def check_marks(self, now):
        """Does nothing: marks are recorded when they are applied."""

    def counters(self):
        """Returns the totals of its traffic."""
        return counters(self.client.traffic)

    def seen(self):
        """Returns 1 if it is connected to a replica, else 0."""
        return int(self.client.subscriber.connected)

    def oldest(self, now):
        """Returns the age of its state in ns."""
        return self.client.age()

    def failures(self):
        """Returns the number of rejected and dropped messages."""
        return self.client.traffic.rejected + self.client.traffic.dropped


def replicas(plan):
    """Returns the members of a ReplicaPlan."""
    return [ReplicaMember(name, plan) for name in plan.names]


def subscribers(plan):
    """Returns the members of a SubscriberPlan."""
    return [
        SubscriberMember(name, plan, follows) for name, follows in zip(plan.names, plan.follows, strict=True)
    ]
