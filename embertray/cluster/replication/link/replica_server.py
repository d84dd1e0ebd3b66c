"""A replica's server: connects Replica and SubscriberFeed with sockets and saved state.

The ReplicaLoop passes events to these state machines, which make all decisions.
"""

from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
import structlog
from anyio.abc import TaskStatus

from embertray.cluster.replication.replica import Replica
from embertray.cluster.replication.subscriber_feed import SubscriberFeed
from embertray.cluster.replication.timing import FeedSettings
from embertray.common.net.tcp import TcpNet

from .client_writes import WRITE_TIMEOUT_S, ClientWrites
from .connection import Traffic
from .durable_state import open_and_load
from .event_queue import EventQueue
from .inbound_peers import InboundPeers
from .inbound_subscribers import InboundSubscribers
from .peer_link import PeerLink
from .replica_loop import ReplicaLoop
from .status import replica_status


@dataclass(frozen=True)
class ReplicaSettings:
    """Names and addresses of one replica.

    Attributes:
        cluster: name of the cluster.
        name: name of this replica.
        peers: name of each replica, including this one -> address where it listens for other replicas.
        listen: address where this replica listens for subscribers.
    """

    cluster: str
    name: str
    peers: dict
    listen: str


class ReplicaServer:
    """Runs one replica: its state machines, listeners, links to other replicas and saved state.

    Args:
        settings: a ReplicaSettings.
        clock: the process's clock.
        rng: a random.Random, seeded differently at each start.
        net: network used to listen and connect; None for TCP.
        replica_timing: a ReplicaTiming, None for the default.
        feed_settings: a FeedSettings, None for the default.
        state_store: a StateStore of ReplicaState; None to save nothing and recover at each start.
        log: a structlog logger, None for the default.
    """

    def __init__(
        self,
        settings,
        clock,
        rng,
        net=None,
        replica_timing=None,
        feed_settings=None,
        state_store=None,
        log=None,
    ):
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.net = net or TcpNet()
        self.replica_timing = replica_timing
        self.feed_settings = feed_settings or FeedSettings()
        self.state_store = state_store
        self.log = (log or structlog.get_logger()).bind(replica=settings.name)
        self.traffic = Traffic()
        self.stopping = anyio.Event()
        # created by `run`
        self.replica = None
        self.feed = None
        self.peers = None
        self.subscribers = None
        self.links = {}  # name of each other replica -> PeerLink
        self.writes = None
        self.loop = None

    # ---- lifecycle

    async def run(self, *, task_status: TaskStatus = anyio.TASK_STATUS_IGNORED):
        """Runs until `stop` is called.

        Once it listens, it reports its two addresses, for replicas and for subscribers, to `task_status`.

        Raises:
            FolderLockedError: another process uses the state folder.
            OSError: an address or the state folder cannot be used.
            StateNotSavedError: the disk failed or is full.
        """
        state, is_newest = open_and_load(self.state_store, self.log)
        try:
            self._create_state_machines(state, is_newest)
            await self._serve(task_status)
        finally:
            if self.writes is not None:
                self.writes.pending.fail_all("the replica stops")
            if self.state_store is not None:
                self.state_store.close()

    def stop(self):
        """Makes `run` return."""
        self.stopping.set()

    def _create_state_machines(self, state, is_newest):
        """Creates the state machines from the saved state, and the objects that connect them."""
        settings = self.settings
        now = self.clock.now()
        self.replica = Replica(
            settings.cluster,
            settings.name,
            list(settings.peers),
            now,
            self.rng,
            self.replica_timing,
            state,
            is_newest,
        )
        self.feed = SubscriberFeed(settings.cluster, lambda: self.replica.store, now, self.feed_settings)
        self.replica.feed = self.feed
        events = EventQueue(self.clock)
        self.peers = InboundPeers(self.replica, events, self.traffic, self.log)
        self.subscribers = InboundSubscribers(self.feed, events, self.traffic, self.log)
        self.links = {name: self._peer_link(name) for name in self.replica.others}
        self.writes = ClientWrites(self.replica, events, self.feed_settings.max_value_bytes)
        self.loop = ReplicaLoop(
            replica=self.replica,
            feed=self.feed,
            clock=self.clock,
            events=events,
            state_store=self.state_store,
            links=self.links,
            subscribers=self.subscribers,
            pending=self.writes.pending,
            stop=self.stop,
            log=self.log,
        )

    def _peer_link(self, name):
        return PeerLink(
            address=lambda: self.settings.peers[name],
            last_received_at=lambda: self.peers.last_received_at.get(name, 0),
            net=self.net,
            clock=self.clock,
            rng=self.rng,
            traffic=self.traffic,
        )

    async def _serve(self, task_status):
        async with (
            self._listening(self.settings.peers[self.settings.name]) as peer_listener,
            self._listening(self.settings.listen) as subscriber_listener,
            anyio.create_task_group() as group,
        ):
            group.start_soon(peer_listener.serve, self.peers.serve, group)
            group.start_soon(subscriber_listener.serve, self.subscribers.serve, group)
            for link in self.links.values():
                group.start_soon(link.run)
            group.start_soon(self.loop.run)
            self.log.info(
                "listening", replicas=peer_listener.address, subscribers=subscriber_listener.address
            )
            task_status.started((peer_listener.address, subscriber_listener.address))
            await self.stopping.wait()
            group.cancel_scope.cancel()
        if self.loop.failure is not None:
            raise self.loop.failure

    @asynccontextmanager
    async def _listening(self, address):
        listener = await self.net.listen(address)
        try:
            yield listener
        finally:
            with anyio.CancelScope(shield=True):
                await listener.aclose()

    # ---- client and operator calls

    async def put(self, key, value, request, expected=None, timeout=WRITE_TIMEOUT_S):
        """Writes a key.

        Args:
            key: name of the key.
            value: bytes; None removes the key.
            request: request id of the call; if it was seen before, nothing is written again.
            expected: required revision of the key, 0 if it must not exist; None for any.
            timeout: seconds to wait for a majority.

        Returns:
            The revision of the committed write.

        Raises:
            WriteRejectedError: the write has no effect.
            OutcomeUnknownError: the write may or may not have been committed.
        """
        return await self.writes.put(key, value, request, expected, timeout)

    async def rollback(self, key, version, request, timeout=WRITE_TIMEOUT_S):
        """Writes the value that the key had at revision `version` again; otherwise the same as `put`."""
        return await self.writes.rollback(key, version, request, timeout)

    def get(self, key):
        """The current Entry of a key at this replica, or None."""
        return self.replica.store.get(key)

    def age(self):
        """Time in ns since it was certain that nothing newer was committed; None if it never was."""
        return self.replica.age(self.clock.now())

    def versions(self, key):
        """The versions of a key that this replica keeps, oldest first."""
        return list(self.replica.store.versions.get(key, ()))

    def status(self):
        """The current ReplicaStatus."""
        return replica_status(self)
