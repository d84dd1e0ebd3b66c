"""A simulated controller's connection to the endpoint list."""

from embertray.common.snapshots import SNAPSHOT_PERIOD_NS
from embertray.controller.endpoint_list import EndpointListFollower, UpdateKind


class EndpointListClient:
    """Passes the requests of the production follower to the simulated list, and its answers back.

    Args:
        controller: The SimulatedController.
        random: A function that returns numbers from 0 to 1.

    Attributes:
        connection: An object that identifies the current connection; None: disconnected.
    """

    def __init__(self, controller, random):
        self.controller = controller
        self.simulation = controller.simulation
        self.follower = EndpointListFollower(controller.name, random)
        self.connection = None

    def start(self):
        """Schedules the first connection, unless the site has the policy poll the list."""
        if self.simulation.site.ask:
            return
        has_list = bool(self.controller.frontend.trust.backends)
        engine = self.simulation.engine
        engine.at(engine.time + self.follower.initial_delay(has_list), self.connect)

    def connect(self):
        """Connects and sends the first request, once the process runs; does nothing if connected already."""
        if not self.controller.alive or self.connection is not None:
            return
        if self.controller.frozen:
            self.controller.call_when_running(self.connect)
        elif self.simulation.inventory.down:
            self.on_connection_lost()
        else:
            self.connection = object()
            self.simulation.inventory.subscriptions[self] = False
            self.simulation.inventory.call(self, self.follower.connected(self.simulation.engine.time))

    def disconnect(self):
        """Drops the connection without reconnecting."""
        self.connection = None
        self.simulation.inventory.subscriptions.pop(self, None)

    def on_connection_lost(self):
        """Handles a connection that broke or could not be opened."""
        self.disconnect()
        backoff = self.follower.connection_failed()
        engine = self.simulation.engine
        if self.simulation.site.ask:  # the policy decides when to poll again
            self.controller.frontend.forward_entries(engine.time, "failed", [])
            self.controller.wake()
        else:
            engine.at(engine.time + backoff, self.connect)

    def request(self, complete):
        """Requests the list, unless a request is in flight.

        Args:
            complete: Whether the complete list is wanted, not only what changed.
        """
        if self.connection is None:
            if self.simulation.site.ask:
                self.connect()
            return
        call = self.follower.next_request(self.simulation.engine.time, complete)
        if call:
            self.simulation.inventory.call(self, call)

    def on_message(self, message):
        """Handles what the list sent.

        Args:
            message: A WatchEvent or a RequestFailed.
        """
        now = self.simulation.engine.time
        update = self.follower.receive(message)
        if update.kind is UpdateKind.GAP:
            self.request(True)
            return
        request_complete = self.controller.frontend.receive_update(
            now, update.kind, update.epoch, update.inventory_clock, update.entries
        )
        self.controller.wake()
        if update.kind is not UpdateKind.FAILED:
            saver = self.controller.saver
            saver.schedule(max(now, saver.saved_at + SNAPSHOT_PERIOD_NS))
        if request_complete:
            self.request(True)
