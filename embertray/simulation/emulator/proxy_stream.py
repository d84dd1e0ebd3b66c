"""A simulated proxy's stream to a controller: dials, orders, acknowledgements and load reports."""

from embertray.controller.stream.messages import Acknowledgement, Hello
from embertray.simulation.models.proxy import PausableProcess, Proxy
from embertray.simulation.standins.proxy import REDIAL_DELAYS_NS

PROTOCOL_VERSION = 1
# The initial and the longest backoff between dials.
FIRST_REDIAL_NS, LONGEST_REDIAL_NS = REDIAL_DELAYS_NS


class ProxyStream(PausableProcess):
    """The side of a proxy that talks to controllers.

    Args:
        simulation: The DaySimulation.
        name: The proxy's name.
        zone: Its zone.
        rate: Mean rate of its clients' requests, requests a second.
        rng: Its random generator.
        initial_backends: Names of the backends that it uses until a controller sends tables.
        order_delay: A function that returns the time from an order's arrival to its effect, ns.

    Attributes:
        model: The Proxy, which decides about requests.
        initial_backends: The names of its initial backends, as a list.
        fresh: Whether it has never joined a controller.
        controller: The SimulatedController that it has joined, or None.
        session: The Hello of the current stream, or None.
        home: Index of the controller that it dials first.
        report_delay: Delay of its load reports, ns.
        cut_off: Whether it can reach no controller.
        paused: Whether its process is stopped.
        deferred_calls: Calls deferred until the process continues, as (callback, *args).
    """

    def __init__(self, simulation, name, zone, rate, rng, initial_backends, order_delay):
        self.simulation = simulation
        self.name = name
        self.zone = zone
        self.rate = rate
        self.rng = rng
        self.order_delay = order_delay
        self.model = Proxy(simulation.site, rng, initial_backends)
        self.initial_backends = list(initial_backends)
        self.fresh = True
        self.controller = None
        self.session = None
        self.home = 0
        self.report_delay = 0
        self.paused = False
        self.cut_off = False
        self.deferred_calls = []
        self._next_controller = 0
        self._failed_dials = 0
        self._backoff = FIRST_REDIAL_NS
        self._last_effect_at = 0  # ns; orders take effect in the order of arrival
        self._reading = True
        self._unread = []  # (controller, orders) in its socket buffer

    # ---- dialling

    def start(self):
        """Starts dialling and load reports."""
        engine = self.simulation.engine
        self._next_controller = self.home
        self.model.joined(engine.time)
        engine.after(self.simulation.site.report_interval, self.report)
        self.dial()

    def dial(self):
        """Dials the next controller; after a failure or a rejection it dials another one later."""
        names = list(self.simulation.controllers.at)
        name = names[self._next_controller % len(names)]
        controller = self.simulation.controllers.running.get(name)
        if controller is None or self.cut_off:
            self._redial(0)
            return
        if controller.frozen:  # the kernel accepts the connection; the process answers when it runs again
            controller.call_when_running(self.dial)
            return
        retry_after = controller.join(self, self._hello())
        if retry_after is None:
            self.on_joined(controller)
        else:
            self._redial(retry_after)

    def _hello(self):
        return Hello(PROTOCOL_VERSION, self.name, self.zone, self.rate, self.fresh)

    def _redial(self, retry_after):
        """Schedules the next dial after a backoff with jitter, which doubles after a round of failures."""
        self._next_controller += 1
        self._failed_dials += 1
        pause = max(retry_after, int(self._backoff * (0.5 + self.rng.random())))
        if self._failed_dials % len(self.simulation.controllers.at) == 0:
            self._backoff = min(LONGEST_REDIAL_NS, self._backoff * 2)
        self.simulation.engine.at(self.simulation.engine.time + pause, self.dial)

    def on_joined(self, controller):
        """Handles an accepted dial.

        Args:
            controller: The SimulatedController.
        """
        now = self.simulation.engine.time
        self.controller = controller
        self.session = self._hello()
        self.fresh = False
        self._backoff = FIRST_REDIAL_NS
        self._failed_dials = 0
        self.model.joined(now)
        self.simulation.observer.joined(now, self.name, controller.name)

    def break_stream(self):
        """Breaks the stream, if there is one, and schedules the next dial."""
        controller = self.controller
        self.controller = None
        self.session = None
        if controller is None:
            return
        self.model.disconnected()
        self.simulation.observer.left(self.simulation.engine.time, self.name)
        controller.call_when_running(controller.on_stream_closed, self)
        self._unread.clear()
        self._redial(0)

    # ---- orders

    @property
    def deaf(self):
        """Whether the proxy does not read from its socket."""
        return not self._reading

    @deaf.setter
    def deaf(self, is_deaf):
        self._reading = not is_deaf
        unread = self._unread
        self._unread = []
        for controller, orders in unread:
            self._read(controller, orders)

    def on_orders(self, controller, orders):
        """Handles orders that arrive at the proxy's socket.

        Args:
            controller: The SimulatedController that sent them.
            orders: The Orders.
        """
        if controller is self.controller:
            self.simulation.observer.orders(self.simulation.engine.time, self.name, orders)
            self._read(controller, orders)

    def _read(self, controller, orders):
        if controller is not self.controller:
            return
        if not self._reading:
            self._unread.append((controller, orders))
            return
        now = self.simulation.engine.time
        self._last_effect_at = max(self._last_effect_at + 1, now + self.order_delay())
        self.simulation.engine.at(self._last_effect_at, self.apply, self.session, orders)

    def apply(self, session, orders):
        """Applies and acknowledges orders, unless their stream broke meanwhile.

        Args:
            session: The Hello of the stream that carried them.
            orders: The Orders.
        """
        if session is not self.session:
            return
        if self.paused:
            self.deferred_calls.append((self.apply, session, orders))
            return
        self.model.apply(orders)
        self.simulation.observer.applied(self.simulation.engine.time, self.name, orders)
        if orders.nonce is not None:
            self.send(session, Acknowledgement(orders.nonce))

    # ---- reports

    def send(self, session, message):
        """Sends a message to the controller, unless the stream broke meanwhile.

        Args:
            session: The Hello of the stream to use.
            message: A LoadReport or an Acknowledgement.
        """
        if session is self.session and session is not None:
            self.controller.call_when_running(self.controller.on_message, self, session, message)

    def report(self):
        """Sends a load report and schedules the next."""
        # Taken even if it cannot be sent, since a report covers one report cycle only.
        load_report = self.model.take_load_report(self.simulation.engine.time)
        if self.session is not None and not self.paused:
            self._send_report(load_report)
        self.simulation.engine.after(self.simulation.site.report_interval, self.report)

    def _send_report(self, load_report):
        if self.report_delay:
            engine = self.simulation.engine
            engine.at(engine.time + self.report_delay, self.send, self.session, load_report)
        else:
            self.send(self.session, load_report)
