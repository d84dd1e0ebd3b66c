"""A subscriber under virtual time: its core, its connection, and the bytes that both cost."""

from collections import deque

from embertray.cluster.replication.codec import decode_to_subscriber
from embertray.cluster.replication.instructions import CloseConnection, OpenConnection, SendMessage
from embertray.cluster.replication.subscriber import Subscriber

from .process import FRAME_BYTES, Connection, Process


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
        self.call(self.core.connection_opened, self.engine.time, connection.number)

    def reset(self, number):
        """The connection was refused, or ended."""
        self.call(self._lost, number)

    def _lost(self, number):
        self.core.connection_lost(self.engine.time, number)

    def settle(self):
        actions, self.core.actions = self.core.actions, []
        for action in actions:
            if isinstance(action, OpenConnection):
                self._dial(action)
            elif isinstance(action, SendMessage):
                self._say(action)
            elif isinstance(action, CloseConnection):
                self._close(False)
        applied, self.core.applied = self.core.applied, []
        for entry in applied:
            self.play.claims.applied(self.engine.time, self.name, entry)
        self.plan(self.core.next_at())

    def _dial(self, action):
        if self.connection is not None:
            self._close(False)
        replica = self.play.replicas[action.replica]
        self.connection = Connection(self.play.links, self, replica, action.connection_id)
        self.play.dial(self.connection)

    def _say(self, action):
        if self.connection is not None and self.connection.number == action.connection_id:
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
