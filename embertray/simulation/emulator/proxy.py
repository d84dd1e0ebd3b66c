"""A simulated proxy: it forwards requests as scheduled calls instead of over sockets."""

from embertray.simulation.standins.messages import Request

from .proxy_stream import ProxyStream


class SimulatedProxy(ProxyStream):
    """A proxy with its stream, its clients' requests and its attempts at backends.

    Attributes:
        bad: Names of backends that it cannot reach.
    """

    def __init__(self, *args):
        super().__init__(*args)
        self.unreachable_backends = set()

    def on_request(self, request, respond):
        """Handles a client's request.

        Args:
            request: The Req.
            respond: Called with the request, its outcome and, if it was rejected, the least delay of a retry,
                ns.
        """
        if self.still:
            self.held_back.append((self.on_request, request, respond))
            return
        underway = self.model.arrive(self.simulation.engine.time, request, respond)
        if underway is None:
            respond(request, "denied", self.model.wait_of(request.kind))
        else:
            self._attempt(underway)

    def _attempt(self, underway):
        """Sends a request to a backend chosen by the routing table, or ends it if there is none."""
        engine = self.simulation.engine
        outcome = self.model.attempt(engine.time, underway)
        if outcome:
            underway.back(underway.req, outcome)
            return
        underway.timer = engine.after(underway.within, self._on_timeout, underway, underway.attempt)
        if self.simulation.watched:
            self._record_attempt(underway)
        if underway.backend in self.unreachable_backends:
            self.on_attempt_ended(underway, underway.attempt, "refused", {})
        else:
            self._send_to_backend(underway)

    def _send_to_backend(self, underway):
        backend = self.simulation.backends_by_name[underway.backend]
        request = underway.req
        args = self, underway, underway.attempt, request.kind, request.work, underway.until
        delay = self.simulation.network_delay(self.zone, backend.model.zone)
        if delay:
            self.simulation.engine.after(delay, backend.on_request, *args)
        else:
            backend.on_request(*args)

    def _record_attempt(self, underway):
        now = self.simulation.engine.time
        request = underway.req
        attempt = Request(
            underway.attempt,
            request.kind,
            request.work,
            max(1, underway.until - now),
            len(underway.tried),
            self.name,
        )
        key = request.ident, request.attempt
        self.simulation.eyes.sent(now, self.name, underway.backend, attempt, key)

    def _on_timeout(self, underway, attempt):
        if underway.attempt == attempt and underway.backend is not None:
            self.simulation.backends_by_name[underway.backend].cancel(underway)
            self.on_attempt_ended(underway, attempt, "timeout", {})

    def on_attempt_ended(self, underway, attempt, outcome, load):
        """Handles the end of an attempt; the model decides whether another follows.

        Args:
            underway: The request's Underway.
            attempt: The attempt's number; one that is over already is ignored.
            outcome: "done", "full", "error", "broken", "timeout" or "refused".
            load: The backend's load report.
        """
        now = self.simulation.engine.time
        backend = underway.backend
        verdict = self.model.ended(now, underway, attempt, outcome, load)
        if verdict is None:
            return
        underway.timer.cancel()
        if outcome != "done" and self.simulation.watched:
            key = underway.req.ident, underway.req.attempt
            self.simulation.eyes.failed(now, self.name, backend, key, outcome)
        if verdict == "again":
            self._attempt(underway)
        else:
            underway.back(underway.req, verdict)
