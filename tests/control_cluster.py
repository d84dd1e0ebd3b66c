"""Test cluster: replicas and subscribers in one event loop, over loopback sockets, with short timeouts."""

import random
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import structlog

from embertray.cluster.replication.exceptions import NoMajorityError, NotLeaderError, OutcomeUnknownError
from embertray.cluster.replication.link import (
    ReplicaServer,
    ReplicaSettings,
    SubscriberClient,
    SubscriberSettings,
)
from embertray.cluster.replication.link.durable_state import replica_state_store, subscriber_state_store
from embertray.cluster.replication.timing import MILLISECOND, FeedSettings, ReplicaTiming, SubscriberTiming
from embertray.common.net.clock import LoopClock
from embertray.common.net.tcp import TcpNet
from embertray.simulation.processes.ports import free_ports

# Election timeouts long enough for a busy machine: a vote takes a round trip and two saves.
REPLICA_TIMING = ReplicaTiming(80 * MILLISECOND, 500 * MILLISECOND, 1_500 * MILLISECOND, 3_000 * MILLISECOND)
FEED_SETTINGS = FeedSettings(
    heartbeat_interval=50 * MILLISECOND,
    initial_retry_delay=100 * MILLISECOND,
    max_retry_delay=400 * MILLISECOND,
    silence_timeout=1_000 * MILLISECOND,
)
SUBSCRIBER_TIMING = SubscriberTiming(
    connect_timeout=1_000 * MILLISECOND,
    silence_timeout=800 * MILLISECOND,
    stale_after=2_000 * MILLISECOND,
    initial_retry_delay=20 * MILLISECOND,
    max_retry_delay=200 * MILLISECOND,
)
MAX_WAIT_S = 60  # after which a wait fails
POLL_INTERVAL_S = 0.005

structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))


async def wait_until(condition, description):
    """Waits until condition() is true; fails after MAX_WAIT_S seconds."""
    with anyio.move_on_after(MAX_WAIT_S):
        while not condition():
            await anyio.sleep(POLL_INTERVAL_S)
        return
    raise AssertionError(f"timed out after {MAX_WAIT_S} s: {description}")


class ControlCluster:
    """Replicas r1 to rN, and subscribers that are started by name.

    States are saved in `folder`, or not at all if it is None.
    """

    def __init__(self, count, folder=None, feed_settings=FEED_SETTINGS):
        ports = free_ports(2 * count)
        self.names = [f"r{n + 1}" for n in range(count)]
        self.peers = {name: f"127.0.0.1:{ports[2 * n]}" for n, name in enumerate(self.names)}
        self.listen = {name: f"127.0.0.1:{ports[2 * n + 1]}" for n, name in enumerate(self.names)}
        self.folder = folder
        self.feed_settings = feed_settings
        self.clock = LoopClock()
        self.starts = 0  # number of started processes and requests
        self.replicas = {}  # name -> running ReplicaServer
        self.subscribers = {}  # name -> running SubscriberClient
        self.applied = {}  # name of a subscriber -> entries that it applied
        self.running_scopes = {}  # name -> (cancel scope, event that is set at its end)
        self.group = None
        self.disks = {}  # name -> Disk that replaces the real one

    @asynccontextmanager
    async def running(self):
        """Starts all replicas; stops everything that still runs at the end."""
        async with anyio.create_task_group() as self.group:
            for name in self.names:
                await self.start(name)
            yield self
            self.group.cancel_scope.cancel()

    def rng(self, name):
        self.starts += 1
        return random.Random(f"{name} {self.starts}")

    async def start(self, name):
        settings = ReplicaSettings("test", name, self.peers, self.listen[name])
        state_store = self.folder and replica_state_store(Path(self.folder) / name, self.disks.get(name))
        timing = {"replica_timing": REPLICA_TIMING, "feed_settings": self.feed_settings}
        server = ReplicaServer(settings, self.clock, self.rng(name), state_store=state_store, **timing)
        self.replicas[name] = server
        await self.group.start(self._run, name, server)
        return server

    async def _run(self, name, process, *, task_status):
        ended = anyio.Event()
        with anyio.CancelScope() as scope:
            self.running_scopes[name] = scope, ended
            try:
                await process.run(task_status=task_status)
            except Exception as error:
                process.failure = error
        ended.set()

    async def kill(self, name):
        """Stops a replica or subscriber at once and without a goodbye, as a kill does."""
        scope, ended = self.running_scopes.pop(name)
        self.replicas.pop(name, None)
        self.subscribers.pop(name, None)
        scope.cancel()
        await ended.wait()

    async def subscribe(self, name, replicas=None, folder=None, net=None, clock=None):
        addresses = {replica: self.listen[replica] for replica in replicas or self.names}
        settings = SubscriberSettings("test", name, addresses)
        applied = self.applied.setdefault(name, [])
        state_store = folder and subscriber_state_store(folder)
        client = SubscriberClient(
            settings,
            clock or self.clock,
            self.rng(name),
            applied.extend,
            net=net or TcpNet(),
            timing=SUBSCRIBER_TIMING,
            state_store=state_store,
        )
        self.subscribers[name] = client
        await self.group.start(self._run, name, client)
        return client

    @property
    def leader(self):
        """The replica that leads with a majority, or None."""
        leaders = (
            server for server in self.replicas.values() if server.replica.has_majority(self.clock.now())
        )
        return next(leaders, None)

    async def wait_for_leader(self):
        """Waits for a leader that has committed its first entry, and returns it."""
        await wait_until(lambda: self.leader and self.leader.replica.store.revision, "a leader")
        return self.leader

    async def call_leader(self, call):
        """Returns the result of call(leader), retried, as clients do, while no majority confirms a leader.

        The call has to use its own request id.
        """
        with anyio.fail_after(MAX_WAIT_S):
            while True:
                leader = await self.wait_for_leader()
                try:
                    return await call(leader)
                except (NotLeaderError, NoMajorityError, OutcomeUnknownError):
                    await anyio.sleep(POLL_INTERVAL_S)

    async def put(self, key, value, request=None):
        self.starts += 1
        request = request or f"request-{self.starts}"
        return await self.call_leader(lambda leader: leader.put(key, value, request))

    async def wait_until_all_hold(self, key, value):
        """Waits until every subscriber has this value of the key."""

        def holds(subscriber):
            entry = subscriber.subscriber and subscriber.get(key)
            return (entry.value if entry else None) == value

        await wait_until(lambda: all(holds(one) for one in self.subscribers.values()), f"{key} everywhere")
