"""One replica's process: its sockets and its saved state round Replica and SubscriberFeed. Nothing is decided here."""

from collections import deque
from dataclasses import dataclass
from functools import partial

import anyio
import structlog
from anyio.abc import TaskStatus

from embertray.cluster.replication.messages import (
    Subscribe,
    decode_from_subscriber,
    decode_replica_message,
    encode,
)
from embertray.cluster.replication.replica import Replica
from embertray.cluster.replication.replica_types import Role, WriteRejected
from embertray.cluster.replication.subscriber_feed import SubscriberFeed, SubscriberRejected
from embertray.cluster.replication.timing import FeedSettings
from embertray.common.net.tcp import TcpNet

from .connection import FROM_SUBSCRIBER_FRAME_MOST, REPLICA_FRAME_MOST, Traffic
from .entry_log import log_entries
from .inbound_connections import ConnectionRejected, Inbound
from .peer_link import PeerLink
from .pending_writes import Call, OutcomeUnknown, VersionNotKept, check_write
from .status import ReplicaStatus, seconds

S = 10**9
FEED_TICK = 20 * 10**6  # ns: what several subscribers say within it is answered at once
WRITE_WITHIN = 5.0  # s that a caller waits for a majority: an election and a round


class StateNotSaved(Exception):
    """The replica's state can't be saved: it must not go on."""


@dataclass(frozen=True)
class ReplicaSettings:
    """`peers`: name -> address where each replica listens for the others, this one too. `listen`: where this
    one listens for subscribers."""

    cluster: str
    name: str
    peers: dict
    listen: str


class ReplicaServer:
    """`chance`: a random.Random that differs at each start. `saved`: a StateStore of ReplicaState, or None to
    keep nothing (such a replica begins anew each time)."""

    def __init__(
        self,
        settings,
        clock,
        chance,
        net=None,
        replica_timing=None,
        feed_settings=None,
        saved=None,
        log=None,
    ):
        self.settings, self.clock, self.chance, self.net = settings, clock, chance, net or TcpNet()
        self.replica_timing, self.feed_settings = replica_timing, feed_settings or FeedSettings()
        self.saved, self.log = saved, (log or structlog.get_logger()).bind(replica=settings.name)
        self.traffic = Traffic()
        self.replica = self.feed = None
        self.inbox, self.poked, self.feed_at, self.stopping = deque(), anyio.Event(), 0, anyio.Event()
        self.calls, self.heard_at, self.links = [], {}, {}
        self.saves = self.steps = 0
        self.failure = None
        self.peers = Inbound(
            decode_replica_message,
            self._identify_peer,
            self._deliver_from_peer,
            lambda name: None,
            REPLICA_FRAME_MOST,
            self.traffic,
            self.log,
        )
        self.subscribers = Inbound(
            decode_from_subscriber,
            self._identify_subscriber,
            self._deliver_from_subscriber,
            self._subscriber_ended,
            FROM_SUBSCRIBER_FRAME_MOST,
            self.traffic,
            self.log,
        )

    # ---- lifecycle

    async def run(self, *, task_status: TaskStatus = anyio.TASK_STATUS_IGNORED):
        """Runs until `stop`; started with its two addresses, for replicas and for subscribers. Raises
        Locked, OSError, StateNotSaved."""
        state, newest = self._open()
        try:
            await self._run(state, newest, task_status)
        finally:
            self._fail_calls("the replica stops")
            if self.saved is not None:
                self.saved.close()

    def stop(self):
        """Ends `run`."""
        self.stopping.set()

    def _open(self):
        if self.saved is None:
            return None, True
        self.saved.open()
        state, passed = self.saved.load()
        for name, why in passed:
            self.log.error("a saved state can't be used", file=name, why=why)
        return state, not passed

    async def _run(self, state, newest, task_status):
        settings, now = self.settings, self.clock.now()
        names = list(settings.peers)
        self.replica = Replica(
            settings.cluster, settings.name, names, now, self.chance, self.replica_timing, state, newest
        )
        self.feed = SubscriberFeed(settings.cluster, lambda: self.replica.store, now, self.feed_settings)
        self.replica.subscribers = self.feed
        self.feed_at = now
        for name in self.replica.others:
            self.links[name] = self._peer_link(name)
        for_peers = await self.net.listen(settings.peers[settings.name])
        try:
            for_subscribers = await self.net.listen(settings.listen)
        except BaseException:
            await for_peers.aclose()
            raise
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(for_peers.serve, self.peers.serve, group)
                group.start_soon(for_subscribers.serve, self.subscribers.serve, group)
                for link in self.links.values():
                    group.start_soon(link.run)
                group.start_soon(self._pump)
                addresses = (for_peers.address, for_subscribers.address)
                self.log.info("listening", replicas=addresses[0], subscribers=addresses[1])
                task_status.started(addresses)
                await self.stopping.wait()
                group.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await for_peers.aclose()
                await for_subscribers.aclose()
        if self.failure is not None:
            raise self.failure

    def _peer_link(self, name):
        return PeerLink(
            lambda: self.settings.peers[name],
            lambda: self.heard_at.get(name, 0),
            self.net,
            self.clock,
            self.chance,
            self.traffic,
        )

    # ---- calls of operators

    async def put(self, key, value, request, expected=None, within=WRITE_WITHIN):
        """Writes a key, or removes it if `value` is None; gives the revision once it is committed. A request
        id that was seen before writes nothing again. Raises WriteRejected, OutcomeUnknown."""
        check_write(key, value, request, self.feed_settings.value_most)
        return await self._write(request, partial(self._propose, key, lambda call: value, expected), within)

    async def rollback(self, key, version, request, within=WRITE_WITHIN):
        """Writes the value that the key had at the revision `version` as a new version."""
        check_write(key, None, request, self.feed_settings.value_most)
        return await self._write(
            request, partial(self._propose, key, partial(self._value_at, key, version), None), within
        )

    def get(self, key):
        """The Entry that is in force here, or None."""
        return self.replica.store.get(key)

    def age(self):
        """ns since it was certain that nothing newer was committed; None if it is not known."""
        return self.replica.age(self.clock.now())

    def versions(self, key):
        """All versions of a key that are kept here, oldest first."""
        return list(self.replica.store.versions.get(key, ()))

    def status(self):
        """The ReplicaStatus now."""
        replica, feed, now = self.replica, self.feed, self.clock.now()
        fleet_subscribers, fleet_lowest = self._fleet()
        return ReplicaStatus(
            cluster=self.settings.cluster,
            name=self.settings.name,
            role=replica.role.value,
            term=replica.term,
            leader=replica.leader,
            has_majority=replica.has_majority(now),
            recovering=replica.recovering,
            revision=replica.store.revision,
            digest=replica.store.digest,
            age_s=seconds(self.replica.age(now)),
            keys=replica.store.live_count,
            state_bytes=replica.store.bytes,
            subscribers=len(feed.subscriptions),
            lowest_confirmed=feed.lowest_confirmed,
            fleet_subscribers=fleet_subscribers,
            fleet_lowest_confirmed=fleet_lowest,
            peers_connected=sum(link.connection is not None for link in self.links.values()),
            saves=self.saves,
            steps=self.steps,
            writes_waiting=len(self.calls),
            update_retries=feed.retries,
            silent_subscribers=feed.silent,
            traffic=self.traffic,
        )

    def _fleet(self):
        """(subscribers, lowest confirmed revision) of all replicas, as the leader was told; else None."""
        if not self.replica.has_majority(self.clock.now()):
            return None, None
        reports = [(len(self.feed.subscriptions), self.feed.lowest_confirmed)]
        reports += [(one.subscribers, one.lowest_confirmed) for one in self.replica.reports.values()]
        lowest = min((confirmed for count, confirmed in reports if count), default=None)
        return sum(count for count, _ in reports), lowest

    async def _write(self, request, propose, within):
        call = Call(request)
        self._submit(partial(propose, call))
        return await call.result(within)

    def _propose(self, key, value, expected, call, now):
        try:
            call.revision = self.replica.put(now, key, value(call), call.request, expected)
        except WriteRejected as refused:
            call.fail(refused)
        else:
            self.calls.append(call)

    def _value_at(self, key, version, call):
        """The value to write again. Only the leader says that there is none, and not to a repeated call."""
        entry = self.replica.store.version(key, version)
        repeated = call.request in self.replica.store.requests
        if entry is None and self.replica.role is Role.LEADER and not repeated:
            raise VersionNotKept(f"{key} is not kept at version {version}")
        return entry.value if entry is not None else None

    def _complete_calls(self):
        store, waiting = self.replica.store, []
        for call in self.calls:
            if call.done.is_set():
                continue
            if call.revision > store.revision:
                waiting.append(call)
            elif store.requests.get(call.request) == call.revision:
                call.succeed()
            else:
                call.fail(OutcomeUnknown("another leader's write took its place"))
        self.calls = waiting

    def _fail_calls(self, why):
        for call in self.calls:
            call.fail(OutcomeUnknown(why))
        self.calls = []

    # ---- one step after the other

    def _submit(self, action):
        """`action(now)` is called by the pump."""
        self.inbox.append(action)
        self.poked.set()

    async def _pump(self):
        while True:
            self.poked = anyio.Event()
            self._take_inbox()
            now = self.clock.now()
            if now >= self.replica.next_at():
                self.replica.advance(now)
            await self._finish_step()
            self._serve_subscribers()
            await self._wait()

    async def _wait(self):
        due = min(self.replica.next_at(), self.feed_at) - self.clock.now()
        if self.inbox or due <= 0:
            await anyio.lowlevel.checkpoint()
            return
        with anyio.move_on_after(due / S):
            await self.poked.wait()

    def _take_inbox(self):
        inbox, self.inbox = self.inbox, deque()
        for action in inbox:
            action(now=self.clock.now())

    async def _finish_step(self):
        """Saves, then sends, then answers callers: in this order."""
        self.steps += 1
        step = self.replica.poll()
        if step.state is not None:
            await self._save(step.state)
        for addressed in step.messages:
            self.links[addressed.to].put(encode(addressed.message))
        if step.committed:
            self.feed_at = self.clock.now()
            log_entries(self.log, "committed", step.committed)
        if self.calls:
            self._complete_calls()

    async def _save(self, state):
        if self.saved is None:
            return
        try:
            await anyio.to_thread.run_sync(self.saved.save, state)
        except OSError as wrong:
            self.log.error("the state can't be saved; this replica stops", why=str(wrong))
            self.failure = StateNotSaved(str(wrong))
            self.stop()
            await anyio.sleep_forever()  # nothing is sent of a step that is not saved
        self.saves += 1
        last = state.uncommitted[-1].revision if state.uncommitted else state.revision
        self.log.debug("saved", revision=last, committed=state.revision, term=state.term)

    def _serve_subscribers(self):
        now = self.clock.now()
        if now < self.feed_at:
            return
        outgoing, silent = self.feed.advance(now, self.replica.age(now))
        for name in silent:
            self.log.info("a subscriber is silent", subscriber=name)
            self.subscribers.close(name)
        for one in outgoing:
            if (connection := self.subscribers.by_name.get(one.subscriber)) is not None:
                connection.put(one.data)
        self.feed_at = max(self.feed.next_at(now), now + FEED_TICK)

    # ---- what others say

    def _identify_peer(self, message):
        if message.cluster != self.settings.cluster:
            raise ConnectionRejected(f"it is of cluster {message.cluster}")
        if message.sender not in self.links:
            raise ConnectionRejected(f"{message.sender} is no other replica")
        return message.sender

    def _identify_subscriber(self, message):
        if not isinstance(message, Subscribe):
            raise ConnectionRejected("it has to subscribe first")
        return message.subscriber

    async def _deliver_from_peer(self, name, connection, messages):
        await self._deliver(partial(self._from_peer, name, messages))

    async def _deliver_from_subscriber(self, name, connection, messages):
        await self._deliver(partial(self._from_subscriber, name, connection, messages))

    async def _deliver(self, action):
        """Waits until the pump has done it: a sender has one batch in the inbox at most."""
        done = anyio.Event()
        self._submit(partial(self._do, action, done))
        await done.wait()

    @staticmethod
    def _do(action, done, now):
        action(now)
        done.set()

    def _from_peer(self, name, messages, now):
        self.heard_at[name] = now
        for message in messages:
            if message.sender == name:
                self.replica.receive(now, message)

    def _from_subscriber(self, name, connection, messages, now):
        if self.subscribers.by_name.get(name) is not connection:
            return  # a newer connection of that name has replaced it
        try:
            for message in messages:
                self.feed.receive(now, name, message)
        except SubscriberRejected as refused:
            self.traffic.rejected += 1
            self.log.info("a subscriber is refused", subscriber=name, why=str(refused))
            connection.close()
        self.feed_at = min(self.feed_at, now + FEED_TICK)

    def _subscriber_ended(self, name):
        self._submit(partial(self._drop_subscription, name))

    def _drop_subscription(self, name, now):
        if name not in self.subscribers.by_name:
            self.feed.unsubscribe(name)
