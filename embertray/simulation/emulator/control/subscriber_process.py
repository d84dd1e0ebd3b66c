"""A subscriber under virtual time: its core, its connection, and the bytes that both cost."""

from collections import deque

from embertray.cluster.replication.codec import decode_to_subscriber
from embertray.cluster.replication.instructions import CloseConnection, OpenConnection, SendMessage
from embertray.cluster.replication.subscriber import Subscriber
from embertray.simulation.emulator.engine import NS_PER_SECOND

from .process import FRAME_BYTES, Connection, Process

# Traffic is held against its budget over this time.
WINDOW_NS = 10 * NS_PER_SECOND


class SubscriberProcess(Process):
    """A subscriber and its connection.

    Args:
        play: The ControlPlay.
        name: Its name.
        replicas: Names of the replicas that it may follow, the preferred first.

    Attributes:
        make_core: Type of its core; tests replace it by faulty ones.
        core: The Subscriber.
        connection: The Connection, or None.
        kept: What its disk has: (entries, revision, when known) or nothing.
        worst_window: The most bytes in and out within WINDOW_NS.
    """

    make_core = Subscriber

    def __init__(self, play, name, replicas):
        super().__init__(play, name)
        self.replica_names = replicas
        self.connection = None
        entries = play.prefill
        self.kept = (list(entries), len(entries), None) if entries else ()
        self.worst_window = 0
        self.in_window = 0
        self.window = deque()

    def start(self):
        """Starts a process with what is on its disk, if anything is."""
        now = self.engine.time
        settings = self.play.settings
        self.life += 1
        self.alive = True
        self.stopped = False
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
        """Kills the process.

        Args:
            silent: Whether its connections stay open, as when a machine is gone.
        """
        self.alive = False
        self.life += 1
        if self.play.settings.keep:
            store = self.core.store
            self.kept = (list(store.entries_since(0)), store.revision, self.core.freshness.known_at)
        if self.connection is not None:
            self._close(silent)

    def tick(self):
        """Advances the core, if it is due."""
        now = self.engine.time
        if now >= self.core.next_at():
            self.core.advance(now)

    def hears(self, connection, life, data):
        """Handles a message from a replica.

        Args:
            connection: The Connection that carried it.
            life: The incarnation that it was sent to.
            data: bytes.
        """
        if life == self.life:
            self._count(len(data) + FRAME_BYTES)
            self.call(self._receive, connection, data)

    def _receive(self, connection, data):
        message = decode_to_subscriber(data)
        size = len(data) + FRAME_BYTES
        self.core.receive(self.engine.time, connection.number, message, size)

    def connected(self, connection):
        """Handles a connection that was accepted.

        Args:
            connection: The Connection.
        """
        self.call(self.core.connection_opened, self.engine.time, connection.number)

    def reset(self, number):
        """Handles a connection that was refused, or ended.

        Args:
            number: The connection's number.
        """
        self.call(self._lost, number)

    def _lost(self, number):
        self.core.connection_lost(self.engine.time, number)

    def settle(self):
        """Carries out the core's instructions and tells the claims what it applied."""
        actions = self.core.actions
        self.core.actions = []
        for action in actions:
            if isinstance(action, OpenConnection):
                self._dial(action)
            elif isinstance(action, SendMessage):
                self._send(action)
            elif isinstance(action, CloseConnection):
                self._close(False)
        applied = self.core.applied
        self.core.applied = []
        for entry in applied:
            self.play.claims.applied(self.engine.time, self.name, entry)
        self.plan(self.core.next_at())

    def _dial(self, action):
        if self.connection is not None:
            self._close(False)
        replica = self.play.replicas[action.replica]
        self.connection = Connection(self.play.links, self, replica, action.connection_id)
        self.play.dial(self.connection)

    def _send(self, action):
        if self.connection is not None and self.connection.number == action.connection_id:
            self.bytes_out += len(action.data) + FRAME_BYTES
            self._count_window(len(action.data) + FRAME_BYTES)
            self.connection.up.send(action.data)

    def _close(self, silent):
        connection = self.connection
        self.connection = None
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
        while self.window[0][0] <= now - WINDOW_NS:
            self.in_window -= self.window.popleft()[1]
        self.worst_window = max(self.worst_window, self.in_window)
