"""The simulated endpoint list: watch events and answers are scheduled calls."""

from embertray.controller.endpoint_list.messages import RequestFailed, WatchRequest
from embertray.simulation.models.inventory import Inventory


class SimulatedEndpointList(Inventory):
    """The endpoint list and the controllers that are connected to it.

    Args:
        simulation: The DaySimulation.
        answer_delay: Time from a request to its answer, ns.

    Attributes:
        subscriptions: EndpointListClient -> whether it watches the list.
    """

    def __init__(self, simulation, answer_delay):
        super().__init__()
        self.simulation = simulation
        self.answer_delay = answer_delay
        self.subscriptions = {}

    def list(self, name, zone, state="ready", started=0):
        """Changes a backend's entry and notifies the controllers that watch.

        Args:
            name: The backend's name.
            zone: Its zone.
            state: "ready", "draining" or "gone".
            started: When it started, ns; 0: long ago, so that it is warm.
        """
        entry = self.change(name, zone, state, started)
        if self.down:
            return
        for client, watches in list(self.subscriptions.items()):
            if watches:
                event = self.watch_event(self.simulation.engine.time, self.epoch - 1, [entry])
                self._send(client, event)

    def call(self, client, request):
        """Schedules the answer to a request.

        Args:
            client: The EndpointListClient.
            request: A ListRequest or a WatchRequest.
        """
        engine = self.simulation.engine
        engine.at(engine.time + self.answer_delay, self._answer, client, client.connection, request)

    def _answer(self, client, connection, request):
        if client.connection is not connection or connection is None:  # it was closed after the request
            return
        if self.down:
            client.controller.call_when_running(client.on_message, RequestFailed("down"))
            return
        if isinstance(request, WatchRequest):
            self.subscriptions[client] = request.enabled
        event = self.answer(self.simulation.engine.time, request)
        if event is not None:
            self._send(client, event)

    def _send(self, client, event):
        self.simulation.observer.told(self.simulation.engine.time, client.controller.name, event)
        client.controller.call_when_running(client.on_message, event)

    def go_down(self):
        """Makes the list unreachable, and breaks its connections."""
        self.down = True
        for client in list(self.subscriptions):
            client.controller.call_when_running(client.on_connection_lost)
        self.subscriptions.clear()

    def come_back(self):
        """Makes the list reachable again; controllers reconnect after their backoff."""
        self.down = False
