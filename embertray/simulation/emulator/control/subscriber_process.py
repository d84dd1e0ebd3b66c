"""A simulated subscriber: its core, its connection and its traffic."""

from collections import deque

from embertray.cluster.replication.codec import decode_to_subscriber
from embertray.cluster.replication.instructions import CloseConnection, OpenConnection, SendMessage
from embertray.cluster.replication.subscriber import Subscriber
from embertray.simulation.emulator.engine import NS_PER_SECOND

from .process import FRAME_BYTES, Connection, Process

# Traffic is compared with its budget over a sliding window of this length.
WINDOW_NS = 10 * NS_PER_SECOND


class SubscriberProcess(Process):
    """A subscriber and its connection.

    Args:
        simulation: The ControlPlaneSimulation.
        name: Its name.
        replicas: Names of the replicas that it may connect to, in order of preference.

    Attributes:
        core_type: Type of its core; tests replace it by faulty ones.
        core: The Subscriber.
        connection: The Connection, or None.
        disk: The state on its disk: (entries, revision, time in ns for which it is known), or empty.
        max_window_bytes: The most bytes sent and received within WINDOW_NS.
    """

    core_type = Subscriber

    def __init__(self, simulation, name, replicas):
        super().__init__(simulation, name)
        self.replica_names = replicas
        self.connection = None
        entries = simulation.initial_entries
        self.disk = (list(entries), len(entries), None) if entries else ()
        self.max_window_bytes = 0
        self.window_bytes = 0
        self.window = deque()

    def start(self):
        """Starts the process with the state on its disk, if there is one."""
        now = self.engine.time
        settings = self.simulation.settings
        self.incarnation += 1
        self.alive = True
        self.stopped = False
        self.deferred.clear()
        rng = self.simulation.random_for(f"{self.name} {self.incarnation}")
        self.core = self.core_type(
            settings.cluster,
            self.name,
            self.replica_names,
            now,
            rng,
            settings.subscriber,
            settings.feed,
            *self.disk,
        )
        if not self.disk:
            self.simulation.claims.subscriber_emptied(self.name)
        self.call(self.tick)

    def kill(self, silent=False):
        """Kills the process.

        Args:
            silent: Whether its connections stay open, as after a machine failure.
        """
        self.alive = False
        self.incarnation += 1
        if self.simulation.settings.persistent:
            store = self.core.store
            self.disk = (list(store.entries_since(0)), store.revision, self.core.freshness.known_at)
        if self.connection is not None:
            self._close(silent)

    def tick(self):
        """Advances the core, if it is due."""
        now = self.engine.time
        if now >= self.core.next_at():
            self.core.advance(now)

    def on_message(self, connection, incarnation, data):
        """Handles a message from a replica.

        Args:
            connection: The Connection that carried it.
            incarnation: The incarnation that it was sent to.
            data: bytes.
        """
        if incarnation == self.incarnation:
            self._count(len(data) + FRAME_BYTES)
            self.call(self._receive, connection, data)

    def _receive(self, connection, data):
        message = decode_to_subscriber(data)
        size = len(data) + FRAME_BYTES
        self.core.receive(self.engine.time, connection.number, message, size)

    def on_connected(self, connection):
        """Handles a connection that was accepted.

        Args:
            connection: The Connection.
        """
        self.call(self.core.connection_opened, self.engine.time, connection.number)

    def on_connection_lost(self, number):
        """Handles a connection that was refused or closed.

        Args:
            number: The connection's number.
        """
        self.call(self._lost, number)

    def _lost(self, number):
        self.core.connection_lost(self.engine.time, number)

    def after_call(self):
        """Carries out the core's instructions and reports applied entries to the claims."""
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
            self.simulation.claims.entry_applied(self.engine.time, self.name, entry)
        self.schedule_tick(self.core.next_at())

    def _dial(self, action):
        if self.connection is not None:
            self._close(False)
        replica = self.simulation.replicas[action.replica]
        self.connection = Connection(self.simulation.links, self, replica, action.connection_id)
        self.simulation.dial(self.connection)

    def _send(self, action):
        if self.connection is not None and self.connection.number == action.connection_id:
            self.bytes_out += len(action.data) + FRAME_BYTES
            self._count_window(len(action.data) + FRAME_BYTES)
            self.connection.to_replica.send(action.data)

    def _close(self, silent):
        connection = self.connection
        self.connection = None
        if not connection.ended and not silent:
            self.simulation.hang_up(connection)
        connection.end()

    def _count(self, size):
        self.bytes_in += size
        self._count_window(size)

    def _count_window(self, size):
        """Adds traffic to the sliding window and updates its maximum."""
        now = self.engine.time
        self.window.append((now, size))
        self.window_bytes += size
        while self.window[0][0] <= now - WINDOW_NS:
            self.window_bytes -= self.window.popleft()[1]
        self.max_window_bytes = max(self.max_window_bytes, self.window_bytes)
