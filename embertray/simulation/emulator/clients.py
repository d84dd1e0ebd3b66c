"""The simulated clients of a proxy: their requests are scheduled calls."""

from embertray.simulation.standins.messages import Request


class SimulatedClients:
    """The clients of one proxy.

    Args:
        simulation: The DaySimulation.
        model: The Clients, which choose requests and decide on retries.
        source: The arrival process: `next(now, rng, until)` returns (time in ns or None, kind or None, work).
        proxy: Their SimulatedProxy.
        rng: Their random generator.
        until: When the load ends, ns.
    """

    def __init__(self, simulation, model, source, proxy, rng, until):
        self.simulation = simulation
        self.model = model
        self.source = source
        self.proxy = proxy
        self.rng = rng
        self.until = until

    def schedule_next(self):
        """Schedules the next request, if one arrives before the load ends."""
        when, kind, work = self.source.next(self.simulation.engine.time, self.rng, self.until)
        if when is not None:
            self.simulation.engine.at(when, self._send_new, kind, work)

    def _send_new(self, kind, work):
        now = self.simulation.engine.time
        self._attempt(self._new_request(now, kind, work))
        self.schedule_next()

    def _new_request(self, now, kind, work):
        if kind is None:  # the source determines arrival times only
            return self.model.draw_request(now)
        return self.model.new_request(now, self.model.kinds[kind], work)

    def _attempt(self, client_request):
        engine = self.simulation.engine
        within = self.model.attempt(engine.time, client_request)
        if within is None:
            self.simulation.observer.ended(
                engine.time, client_request.arrived_at, client_request.kind, "lost", 0
            )
            return
        client_request.timer = engine.after(
            within, self._on_ended, client_request.ident, client_request.attempts, "timeout"
        )
        request = Request(
            client_request.ident,
            client_request.kind.external_id,
            client_request.work,
            within,
            client_request.attempts,
        )
        self.proxy.on_request(request, self._on_response)

    def _on_response(self, request, outcome, retry_after=0):
        self._on_ended(request.ident, request.attempt, outcome, retry_after)

    def _on_ended(self, ident, attempt, outcome, retry_after=0):
        engine = self.simulation.engine
        found = self.model.attempt_ended(engine.time, ident, attempt, outcome, retry_after)
        if found is None:  # the attempt has ended already
            return
        client_request, verdict, duration = found
        client_request.timer.cancel()
        if verdict == "again":
            engine.at(engine.time + duration, self._attempt, client_request)
        else:
            self.simulation.observer.ended(
                engine.time, client_request.arrived_at, client_request.kind, verdict, duration
            )
