"""A simulated replica: its core, feed, disk and connections."""

from embertray.cluster.replication.codec import decode_from_subscriber, decode_replica_message, encode
from embertray.cluster.replication.entry import Entry
from embertray.cluster.replication.exceptions import (
    MalformedMessageError,
    SubscriberRejectedError,
    WriteRejectedError,
)
from embertray.cluster.replication.replica import Replica
from embertray.cluster.replication.replica_state import ReplicaState
from embertray.cluster.replication.subscriber_feed import SubscriberFeed
from embertray.simulation.emulator.engine import NS_PER_MS

from .links import Stream
from .process import FRAME_BYTES, Process

# The shortest and the longest time to save a state to disk.
SAVE_NS = (2 * NS_PER_MS, 20 * NS_PER_MS)
# Most messages to another replica that a closed link queues; beyond it, the oldest are dropped.
MAX_QUEUED_MESSAGES = 64


class ReplicaProcess(Process):
    """A replica, its feed, its disk and its connections.

    Args:
        simulation: The ControlPlaneSimulation.
        name: Its name.

    Attributes:
        core_type: Type of the core; tests replace it by faulty ones.
        feed_type: Type of the feed; tests replace it likewise.
        core: The Replica.
        feed: The SubscriberFeed.
        disk: The ReplicaState on its disk, or None.
        lost_disks: The states of the disks that it has lost.
        connections: Connection by subscriber.
        peers: Stream to each other replica, by its name.
    """

    core_type = Replica
    feed_type = SubscriberFeed

    def __init__(self, simulation, name):
        super().__init__(simulation, name)
        self.disk = self._first_disk()
        self.lost_disks = []
        self.connections = {}
        self.peers = {}

    def _first_disk(self):
        """The state with the simulation's initial entries, or None as before a first start."""
        entries = self.simulation.initial_entries
        return ReplicaState(1, "", len(entries), 1, 0, list(entries), [], []) if entries else None

    def start(self):
        """Starts the process with the state on its disk."""
        now = self.engine.time
        settings = self.simulation.settings
        self.incarnation += 1
        self.alive = True
        self.stopped = False
        self.busy = False
        self.deferred.clear()
        rng = self.simulation.random_for(f"{self.name} {self.incarnation}")
        self.core = self.core_type(
            settings.cluster, self.name, self.simulation.replica_names, now, rng, settings.replica, self.disk
        )
        self.feed = self.feed_type(settings.cluster, lambda: self.core.store, now, settings.feed)
        self.core.feed = self.feed
        self.writes = {}  # request -> callback that takes the committed Entry
        self.call(self.tick)

    def kill(self, silent=False):
        """Kills the process.

        Args:
            silent: Whether its connections stay open, as after a machine failure.
        """
        self.alive = False
        self.incarnation += 1
        for connection in list(self.connections.values()):
            if not silent:
                self.simulation.reset(connection)
            connection.end()
        self.connections = {}
        for stream in self.peers.values():
            stream.end()
        self.peers = {}

    def lose_disk(self):
        """Loses the state on the disk."""
        self.lost_disks.append(self.disk)
        self.disk = None

    def has_saved(self, revision):
        """Whether a write has ever been saved, also on a disk lost since.

        Args:
            revision: The write's revision.

        Returns:
            Whether it has.
        """
        return any(disk is not None and holds(disk, revision) for disk in (self.disk, *self.lost_disks))

    # ---- calls

    def tick(self):
        """Advances the core, if it is due."""
        now = self.engine.time
        if now >= self.core.next_at():
            self.core.advance(now)

    def on_replica_message(self, incarnation, data):
        """Handles a message from another replica.

        Args:
            incarnation: The incarnation that it was sent to.
            data: bytes.
        """
        if incarnation == self.incarnation:
            self.bytes_in += len(data) + FRAME_BYTES
            self.call(self._receive_replica, data)

    def _receive_replica(self, data):
        try:
            message = decode_replica_message(data)
        except MalformedMessageError:
            return
        self.core.receive(self.engine.time, message)

    def on_connection_accepted(self, connection):
        """Marks a subscriber's connection as accepted.

        Args:
            connection: The Connection.
        """
        connection.accepted = True

    def on_message(self, connection, incarnation, data):
        """Handles a message from a subscriber.

        Args:
            connection: The Connection that carried it.
            incarnation: The incarnation that it was sent to.
            data: bytes.
        """
        if incarnation == self.incarnation:
            self.bytes_in += len(data) + FRAME_BYTES
            self.call(self._receive_subscriber, connection, data)

    def _receive_subscriber(self, connection, data):
        name = connection.subscriber.name
        current = self.connections.get(name)
        if current is not connection:
            if connection.ended or current is not None and current.number > connection.number:
                return
            if current is not None:
                current.end()
                self.feed.unsubscribe(name)
            self.connections[name] = connection
        try:
            self.feed.receive(self.engine.time, name, decode_from_subscriber(data))
        except SubscriberRejectedError:
            self.drop(connection)

    def on_connection_closed(self, connection):
        """Handles a connection that its subscriber closed.

        Args:
            connection: The Connection.
        """
        self.call(self.drop, connection)

    def drop(self, connection):
        """Forgets a connection.

        Args:
            connection: The Connection.
        """
        name = connection.subscriber.name
        if self.connections.get(name) is connection:
            del self.connections[name]
            self.feed.unsubscribe(name)

    def put(self, key, value, request, done, expected=None):
        """Handles a write request.

        Args:
            key: The key.
            value: bytes; None removes the key.
            request: The idempotency key.
            done: Called with the committed Entry or a WriteRejectedError, once the outcome is known.
            expected: The revision that the key must have; None: any.
        """
        self.call(self._put, key, value, request, done, expected)

    def _put(self, key, value, request, done, expected):
        try:
            revision = self.core.put(self.engine.time, key, value, request, expected)
        except WriteRejectedError as error:
            done(error)
            return
        if revision <= self.core.store.revision:  # a retry of a request that is committed already
            done(Entry(key, revision, 0, request, value))
        else:
            self.writes[request] = done

    # ---- the core's requests

    def after_call(self):
        """Saves the core's state, if it changed, and then carries out the core's step."""
        step = self.core.poll()
        if step.state is not None:
            self.busy = True
            delay = self.simulation.rng.randint(*SAVE_NS)
            self.engine.at(self.engine.time + delay, self._saved, self.incarnation, step)
        else:
            self._carry_out(step)

    def _saved(self, incarnation, step):
        if incarnation != self.incarnation:
            return  # it was killed before the state was on disk
        self.disk = step.state
        self.busy = False
        self._carry_out(step)
        self.run_deferred()

    def _carry_out(self, step):
        for addressed in step.messages:
            self._send_replica(addressed)
        for entry in step.committed:
            self.simulation.claims.entry_committed(self.engine.time, self.name, entry)
            done = self.writes.pop(entry.request, None)
            if done is not None:
                done(entry)
        self._feed()

    def _feed(self):
        now = self.engine.time
        messages, silent = self.feed.advance(now, self.core.age(now))
        for outgoing in messages:
            connection = self.connections.get(outgoing.subscriber)
            if connection is not None:
                self.bytes_out += len(outgoing.data) + FRAME_BYTES
                self.messages_out += 1
                connection.to_subscriber.send(outgoing.data)
        for name in silent:
            connection = self.connections.pop(name, None)
            if connection is not None:
                self.simulation.reset(connection)
                connection.end()
        self.schedule_tick(min(self.core.next_at(), self.feed.next_at(now)))

    def _send_replica(self, addressed):
        receiver = self.simulation.replicas[addressed.recipient]
        if not receiver.alive:
            return
        stream = self.peers.get(addressed.recipient)
        if stream is None or stream.incarnation != receiver.incarnation:
            incarnation = receiver.incarnation
            stream = Stream(
                self.simulation.links,
                self.name,
                addressed.recipient,
                lambda data: receiver.on_replica_message(incarnation, data),
            )
            stream.incarnation = incarnation
            self.peers[addressed.recipient] = stream
        data = encode(addressed.message)
        self.bytes_out += len(data) + FRAME_BYTES
        while len(stream.queued) >= MAX_QUEUED_MESSAGES:
            stream.queued.popleft()
        stream.send(data)


def holds(disk, revision):
    """Whether a saved state includes a write.

    Args:
        disk: The ReplicaState.
        revision: The write's revision.

    Returns:
        Whether it does.
    """
    return disk.revision >= revision or any(entry.revision == revision for entry in disk.uncommitted)
