"""A simulated backend: attempts arrive and end as scheduled calls."""

# Addresses of simulated backends are in 127.0.0.0/8; the lower two octets count in this base.
OCTET_VALUES = 255


def backend_address(number):
    """The address of a simulated backend.

    Args:
        number: Its number, from 0.

    Returns:
        Its IP address and port.
    """
    high, rest = divmod(number, OCTET_VALUES**2)
    middle, low = divmod(rest, OCTET_VALUES)
    return f"127.{high + 1}.{middle}.{low + 1}:80"


class SimulatedBackend:
    """A backend model and the proxies' connections to it.

    Args:
        simulation: The DaySimulation.
        model: The Backend.
        draw: A function that returns random numbers from 0 to 1, which decide on failures.

    Attributes:
        failing_proxies: Names of proxies whose requests fail here.
    """

    def __init__(self, simulation, model, draw):
        self.simulation = simulation
        self.model = model
        self.draw = draw
        self.failing_proxies = set()
        self._connected = set()  # proxies
        self._in_flight = {}  # PendingRequest -> (proxy, attempt)
        self._next_end_at = None  # ns; None: no end is scheduled

    def on_request(self, proxy, pending, attempt, kind, work, until):
        """Handles an attempt; its outcome is reported to `proxy.on_attempt_ended`.

        Args:
            proxy: The SimulatedProxy that sent it.
            pending: The request's PendingRequest.
            attempt: The attempt's number.
            kind: External id of the request's kind.
            work: Time that the request takes on a core of speed 1, ns.
            until: Deadline of the client, ns.
        """
        now = self.simulation.engine.time
        if proxy not in self._connected:
            if self._refuses_connection(now):
                proxy.on_attempt_ended(pending, attempt, "broken", {})
                return
            self._connected.add(proxy)
        self._in_flight[pending] = proxy, attempt
        if self.model.state != "up":  # the process hangs: the attempt ends by its timeout
            return
        if proxy.name in self.failing_proxies:
            self._end(pending, attempt, "error", {})
            return
        outcome = self.model.offer(now, (pending, attempt), kind, work, until, self.draw())
        if outcome:
            self._end(pending, attempt, outcome, self.model.report(now))
        self._schedule_end()

    def _refuses_connection(self, now):
        if self.model.state == "dead":
            return True
        return self.model.state == "up" and not self.model.connect(now)

    def _schedule_end(self):
        """Schedules the next completion, if it is sooner than the one that is scheduled."""
        when = self.model.next_at()
        if when is not None and (self._next_end_at is None or when < self._next_end_at):
            self._next_end_at = when
            self.simulation.engine.at(max(when, self.simulation.engine.time), self._advance, when)

    def _advance(self, when):
        if self._next_end_at != when:
            return
        self._next_end_at = None
        now = self.simulation.engine.time
        for pending, attempt in self.model.advance(now):
            self._end(pending, attempt, "done", self.model.report(now))
        self._schedule_end()

    def _end(self, pending, attempt, outcome, load):
        in_flight = self._in_flight.get(pending)
        if in_flight is None or in_flight[1] != attempt:  # the proxy has cancelled it
            return
        proxy, _ = self._in_flight.pop(pending)
        delay = self.simulation.network_delay(proxy.zone, self.model.zone)
        if delay:
            engine = self.simulation.engine
            engine.after(delay, proxy.on_attempt_ended, pending, attempt, outcome, load)
        else:
            proxy.on_attempt_ended(pending, attempt, outcome, load)

    def cancel(self, pending):
        """Drops an attempt that its proxy cancelled; the backend still does its work.

        Args:
            pending: The request's PendingRequest.
        """
        self._in_flight.pop(pending, None)

    def break_links(self):
        """Breaks all connections; attempts in flight end as broken."""
        self._connected.clear()
        in_flight = self._in_flight
        self._in_flight = {}
        for pending, (proxy, attempt) in in_flight.items():
            proxy.on_attempt_ended(pending, attempt, "broken", {})

    def die(self, silent=False):
        """Ends the process.

        Args:
            silent: Whether its connections stay open without answers, as after a machine failure.
        """
        self.model.die(silent)
        self._next_end_at = None
        if not silent:
            self.break_links()

    def start(self, cold=True):
        """Starts a process.

        Args:
            cold: Whether it needs to warm up.
        """
        self.model.start(self.simulation.engine.time, cold)
        self._next_end_at = None
        self.break_links()
