"""A simulated proxy: it forwards requests as scheduled calls instead of over sockets."""

from embertray.simulation.standins.messages import Request

from .proxy_stream import ProxyStream


class SimulatedProxy(ProxyStream):
    """A proxy with its stream, its clients' requests and its attempts at backends.

    Attributes:
        unreachable_backends: Names of backends that it cannot reach.
    """

    def __init__(self, *args):
        super().__init__(*args)
        self.unreachable_backends = set()

    def on_request(self, request, respond):
        """Handles a client's request.

        Args:
            request: The Request.
            respond: Called with the request, its outcome and, if it was rejected, the least delay of a retry,
                ns.
        """
        if self.paused:
            self.deferred_calls.append((self.on_request, request, respond))
            return
        pending = self.model.arrive(self.simulation.engine.time, request, respond)
        if pending is None:
            respond(request, "denied", self.model.retry_after(request.kind))
        else:
            self._attempt(pending)

    def _attempt(self, pending):
        """Makes a request's next attempt, or ends it if no backend is left or its deadline has passed."""
        engine = self.simulation.engine
        outcome = self.model.attempt(engine.time, pending)
        if outcome:
            pending.reply_to(pending.request, outcome)
            return
        pending.timer = engine.after(pending.timeout, self._on_timeout, pending, pending.attempt)
        if self.simulation.watched:
            self._record_attempt(pending)
        if pending.backend in self.unreachable_backends:
            self.on_attempt_ended(pending, pending.attempt, "refused", {})
        else:
            self._send_to_backend(pending)

    def _send_to_backend(self, pending):
        backend = self.simulation.backends_by_name[pending.backend]
        request = pending.request
        args = self, pending, pending.attempt, request.kind, request.work, pending.deadline
        delay = self.simulation.network_delay(self.zone, backend.model.zone)
        if delay:
            self.simulation.engine.after(delay, backend.on_request, *args)
        else:
            backend.on_request(*args)

    def _record_attempt(self, pending):
        now = self.simulation.engine.time
        request = pending.request
        attempt = Request(
            pending.attempt,
            request.kind,
            request.work,
            max(1, pending.deadline - now),
            len(pending.tried),
            self.name,
        )
        key = request.ident, request.attempt
        self.simulation.observer.sent(now, self.name, pending.backend, attempt, key)

    def _on_timeout(self, pending, attempt):
        if pending.attempt == attempt and pending.backend is not None:
            self.simulation.backends_by_name[pending.backend].cancel(pending)
            self.on_attempt_ended(pending, attempt, "timeout", {})

    def on_attempt_ended(self, pending, attempt, outcome, load):
        """Handles the end of an attempt; the model decides whether another follows.

        Args:
            pending: The request's PendingRequest.
            attempt: The attempt's number; one that is over already is ignored.
            outcome: "done", "full", "error", "broken", "timeout" or "refused".
            load: The backend's load report.
        """
        now = self.simulation.engine.time
        backend = pending.backend
        verdict = self.model.attempt_ended(now, pending, attempt, outcome, load)
        if verdict is None:
            return
        pending.timer.cancel()
        if outcome != "done" and self.simulation.watched:
            key = pending.request.ident, pending.request.attempt
            self.simulation.observer.failed(now, self.name, backend, key, outcome)
        if verdict == "again":
            self._attempt(pending)
        else:
            pending.reply_to(pending.request, verdict)
