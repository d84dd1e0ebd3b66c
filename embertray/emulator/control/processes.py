"""Processes of the control plane under virtual time: replicas with their disks, subscribers, and the
connections between them.
"""

from collections import deque

from ...control.entry import Entry
from ...control.feed import Feed, Refused
from ...control.messages import (
    Unreadable,
    decode_from_subscriber,
    decode_replica_message,
    decode_to_subscriber,
    encode,
)
from ...control.replica import Replica
from ...control.replica_types import ReplicaState, WriteRefused
from ...control.subscriber import Dial, Hang, Say, Subscriber
from .links import Stream

MS = 10**6
SAVE = (2 * MS, 20 * MS)  # ns until a state is on disk
DATAGRAM_BACKLOG = 64  # messages between two replicas that a closed way holds, newest first
FRAME_BYTES = 4


class Process:
    """Something that is called with events, one at a time, and may be dead, stopped or busy."""

    def __init__(self, play, name):
        self.play, self.engine, self.name = play, play.engine, name
        self.alive, self.stopped, self.busy, self.life = False, False, False, 0
        self.waiting = deque()
        self.planned = None
        self.bytes_out = self.bytes_in = self.messages_out = 0

    def call(self, what, *given):
        """Calls now, or when the process is free again; a dead one misses it."""
        if not self.alive:
            return
        if self.stopped or self.busy:
            self.waiting.append((what, given))
            return
        what(*given)
        self.settle()

    def settle(self):
        """Does what follows from a call."""
        raise NotImplementedError

    def drain(self):
        """Calls what has waited."""
        while self.waiting and self.alive and not self.stopped and not self.busy:
            what, given = self.waiting.popleft()
            what(*given)
            self.settle()

    def plan(self, when):
        """`tick` is called at `when`; an earlier plan is replaced."""
        if self.planned is not None:
            if self.planned.when == when and self.planned.what is not None:
                return
            self.planned.cancel()
        self.planned = self.engine.at(max(when, self.engine.time), self._wake, self.life)

    def _wake(self, life):
        self.planned = None
        if life == self.life:
            self.call(self.tick)

    def tick(self):
        """Its time has come."""
        raise NotImplementedError

    def stop(self):
        """As by SIGSTOP."""
        self.stopped = True

    def go_on(self):
        """As by SIGCONT."""
        self.stopped = False
        self.call(self.tick)
        self.drain()


class Connection:
    """A stream in each direction between a subscriber and a replica."""

    def __init__(self, links, subscriber, replica, number):
        self.subscriber, self.replica, self.number = subscriber, replica, number
        life = replica.life
        self.up = Stream(links, subscriber.name, replica.name, lambda data: replica.hears(self, life, data))
        own = subscriber.life
        self.down = Stream(
            links, replica.name, subscriber.name, lambda data: subscriber.hears(self, own, data)
        )
        self.ended = False

    def end(self):
        """Both directions end."""
        self.ended = True
        self.up.end()
        self.down.end()


class ReplicaProcess(Process):
    """A replica, its feed, its disk and its sockets. `make_core`, `make_feed`: for tests that spoil them."""

    make_core, make_feed = Replica, Feed

    def __init__(self, play, name):
        super().__init__(play, name)
        self.disk, self.lost_disks, self.connections, self.peers = self._first_disk(), [], {}, {}

    def _first_disk(self):
        """None, as before a first start, or what is prefilled."""
        entries = self.play.prefill
        return ReplicaState(1, "", len(entries), 1, 0, list(entries), [], []) if entries else None

    def start(self):
        """Begins a life with what is on disk."""
        now, settings = self.engine.time, self.play.settings
        self.life += 1
        self.alive, self.stopped, self.busy = True, False, False
        self.waiting.clear()
        chance = self.play.draw(f"{self.name} {self.life}")
        self.core = self.make_core(
            settings.cluster, self.name, self.play.replica_names, now, chance, settings.replica, self.disk
        )
        self.feed = self.make_feed(settings.cluster, lambda: self.core.store, now, settings.feed)
        self.core.subscribers = self.feed
        self.writes = {}  # request -> what is called with the committed Entry
        self.call(self.tick)

    def kill(self, silent=False):
        """Ends at once. `silent`: as a machine that vanishes, whose peers get no sign."""
        self.alive = False
        self.life += 1
        for connection in list(self.connections.values()):
            if not silent:
                self.play.reset(connection)
            connection.end()
        self.connections = {}
        for stream in self.peers.values():
            stream.end()
        self.peers = {}

    def lose_disk(self):
        """What it saved is gone."""
        self.lost_disks.append(self.disk)
        self.disk = None

    def has_saved(self, revision):
        """Whether the write at a revision has ever been on its disk."""
        return any(disk is not None and holds(disk, revision) for disk in (self.disk, *self.lost_disks))

    # ---- calls

    def tick(self):
        now = self.engine.time
        if now >= self.core.next_at():
            self.core.advance(now)

    def hears_replica(self, life, data):
        """Bytes from another replica."""
        if life == self.life:
            self.bytes_in += len(data) + FRAME_BYTES
            self.call(self._receive_replica, data)

    def _receive_replica(self, data):
        try:
            message = decode_replica_message(data)
        except Unreadable:
            return
        self.core.receive(self.engine.time, message)

    def accepts(self, connection):
        """A subscriber's connection is up."""
        connection.accepted = True

    def hears(self, connection, life, data):
        """Bytes from a subscriber."""
        if life == self.life:
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
                self.feed.gone(name)
            self.connections[name] = connection
        try:
            self.feed.receive(self.engine.time, name, decode_from_subscriber(data))
        except Refused:
            self.drop(connection)

    def hung_up(self, connection):
        """A subscriber closed its connection."""
        self.call(self.drop, connection)

    def drop(self, connection):
        """Forgets a connection."""
        name = connection.subscriber.name
        if self.connections.get(name) is connection:
            del self.connections[name]
            self.feed.gone(name)

    def put(self, key, value, request, done, expected=None):
        """A writer's call; `done(Entry or WriteRefused)` when it is known."""
        self.call(self._put, key, value, request, done, expected)

    def _put(self, key, value, request, done, expected):
        try:
            revision = self.core.put(self.engine.time, key, value, request, expected)
        except WriteRefused as refused:
            done(refused)
            return
        if revision <= self.core.store.revision:  # a repeated call whose first one was committed
            done(Entry(key, revision, 0, request, value))
        else:
            self.writes[request] = done

    # ---- what follows

    def settle(self):
        step = self.core.poll()
        if step.state is not None:
            self.busy = True
            delay = self.play.chance.randint(*SAVE)
            self.engine.at(self.engine.time + delay, self._saved, self.life, step)
        else:
            self._carry_out(step)

    def _saved(self, life, step):
        if life != self.life:
            return  # it died before the state was on disk
        self.disk, self.busy = step.state, False
        self._carry_out(step)
        self.drain()

    def _carry_out(self, step):
        for addressed in step.messages:
            self._send_replica(addressed)
        for entry in step.committed:
            self.play.claims.committed(self.engine.time, self.name, entry)
            done = self.writes.pop(entry.request, None)
            if done is not None:
                done(entry)
        self._feed()

    def _feed(self):
        now = self.engine.time
        out, silent = self.feed.advance(now, self.core.age(now))
        for outgoing in out:
            connection = self.connections.get(outgoing.subscriber)
            if connection is not None:
                self.bytes_out += len(outgoing.data) + FRAME_BYTES
                self.messages_out += 1
                connection.down.send(outgoing.data)
        for name in silent:
            connection = self.connections.pop(name, None)
            if connection is not None:
                self.play.reset(connection)
                connection.end()
        self.plan(min(self.core.next_at(), self.feed.next_at(now)))

    def _send_replica(self, addressed):
        receiver = self.play.replicas[addressed.to]
        if not receiver.alive:
            return
        stream = self.peers.get(addressed.to)
        if stream is None or stream.life != receiver.life:
            life = receiver.life
            stream = Stream(
                self.play.links, self.name, addressed.to, lambda data: receiver.hears_replica(life, data)
            )
            stream.life = life
            self.peers[addressed.to] = stream
        data = encode(addressed.message)
        self.bytes_out += len(data) + FRAME_BYTES
        while len(stream.held) >= DATAGRAM_BACKLOG:
            stream.held.popleft()
        stream.send(data)


class SubscriberProcess(Process):
    """A subscriber and its connection. `make_core`: for tests that spoil it."""

    make_core = Subscriber

    def __init__(self, play, name, replicas):
        super().__init__(play, name)
        self.replica_names, self.connection = replicas, None
        entries = play.prefill
        self.kept = (list(entries), len(entries), None) if entries else ()
        self.worst_window, self.in_window, self.window = 0, 0, deque()

    def start(self):
        """Begins a life with nothing, or with what it kept."""
        now, settings = self.engine.time, self.play.settings
        self.life += 1
        self.alive, self.stopped = True, False
        self.waiting.clear()
        chance = self.play.draw(f"{self.name} {self.life}")
        self.core = self.make_core(
            settings.cluster,
            self.name,
            self.replica_names,
            now,
            chance,
            settings.subscriber,
            settings.feed,
            *self.kept,
        )
        if not self.kept:
            self.play.claims.forgets(self.name)
        self.call(self.tick)

    def kill(self, silent=False):
        """Ends at once."""
        self.alive = False
        self.life += 1
        if self.play.settings.keep:
            store = self.core.store
            self.kept = (store.live(), store.revision, self.core.freshness.known_at)
        if self.connection is not None:
            self._close(silent)

    def tick(self):
        now = self.engine.time
        if now >= self.core.next_at():
            self.core.advance(now)

    def hears(self, connection, life, data):
        """Bytes from a replica."""
        if life == self.life:
            self._count(len(data) + FRAME_BYTES)
            self.call(self._receive, connection, data)

    def _receive(self, connection, data):
        message = decode_to_subscriber(data)
        size = len(data) + FRAME_BYTES
        self.core.receive(self.engine.time, connection.number, message, size)

    def connected(self, connection):
        """The connection is up."""
        self.call(self.core.dialled, self.engine.time, connection.number)

    def reset(self, number):
        """The connection was refused, or ended."""
        self.call(self._lost, number)

    def _lost(self, number):
        self.core.lost(self.engine.time, number)

    def settle(self):
        actions, self.core.actions = self.core.actions, []
        for action in actions:
            if isinstance(action, Dial):
                self._dial(action)
            elif isinstance(action, Say):
                self._say(action)
            elif isinstance(action, Hang):
                self._close(False)
        applied, self.core.applied = self.core.applied, []
        for entry in applied:
            self.play.claims.applied(self.engine.time, self.name, entry)
        self.plan(self.core.next_at())

    def _dial(self, action):
        if self.connection is not None:
            self._close(False)
        replica = self.play.replicas[action.replica]
        self.connection = Connection(self.play.links, self, replica, action.number)
        self.play.dial(self.connection)

    def _say(self, action):
        if self.connection is not None and self.connection.number == action.number:
            self.bytes_out += len(action.data) + FRAME_BYTES
            self._count_window(len(action.data) + FRAME_BYTES)
            self.connection.up.send(action.data)

    def _close(self, silent):
        connection, self.connection = self.connection, None
        if not connection.ended and not silent:
            self.play.hang_up(connection)
        connection.end()

    def _count(self, size):
        self.bytes_in += size
        self._count_window(size)

    def _count_window(self, size):
        """Bytes in and out of the last ten seconds, and the most there were."""
        now = self.engine.time
        self.window.append((now, size))
        self.in_window += size
        while self.window[0][0] <= now - 10 * 10**9:
            self.in_window -= self.window.popleft()[1]
        self.worst_window = max(self.worst_window, self.in_window)


def holds(disk, revision):
    """Whether a saved ReplicaState includes the write at a revision."""
    return disk.revision >= revision or any(entry.revision == revision for entry in disk.uncommitted)
