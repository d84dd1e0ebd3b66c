"""Clients that send random requests to a proxy over a socket, with timeouts and retries."""

import anyio

from embertray.simulation.models.arrivals import Poisson
from embertray.simulation.models.client import Clients

from .link import Link
from .messages import Request, RequestEnd, decode, encode

NS_PER_SECOND = 10**9


class StandinClients:
    """The clients of one proxy.

    Args:
        number: number of these clients, a part of their request ids.
        mix: rows of RequestKind, its share of the requests and its mean work in ns.
        rate: `rate(now)` returns requests per second; or a source of models/arrivals.py.
        net: the net to dial on.
        scheduler: a Scheduler.
        rng: the random generator.
        retries: further attempts of a request.
        retry_delay: mean delay before each of them, ns.
        on_ended: called with (now, arrival time, kind, outcome, duration) for each request, times in ns; the
            outcome is done, late or lost.
    """

    def __init__(
        self, number, mix, rate, net, scheduler, rng, retries=1, retry_delay=NS_PER_SECOND // 5, on_ended=None
    ):
        self.model, self.rng = Clients(number, mix, rng, retries, retry_delay), rng
        self.source = rate if hasattr(rate, "next") else Poisson(rate)
        self.net, self.scheduler, self.on_ended = net, scheduler, on_ended
        self.link, self.until = None, 0
        self.idle = anyio.Event()

    async def run(self, address, until):
        """Sends requests until `until` (ns), then waits for those that are pending."""
        self.until = until
        stream = await self.net.dial(address)
        self.link = Link(stream, encode, decode, self.on_message)
        async with anyio.create_task_group() as group:
            group.start_soon(self.link.run)
            self.schedule_next()
            await self.idle.wait()
            group.cancel_scope.cancel()

    def schedule_next(self):
        """Schedules the next request, or the end of sending."""
        when, kind, work = self.source.next(self.scheduler.now(), self.rng, self.until)
        if when is None:
            self.scheduler.at(self.until, self.stop_sending)
        else:
            self.scheduler.at(when, self.send, kind, work)

    def stop_sending(self):
        """Ends the sending of requests."""
        self.until = 0
        self.check_idle()

    def send(self, kind, work):
        """Sends a new request; `kind` None: a random kind and random work."""
        now, model = self.scheduler.now(), self.model
        self.send_attempt(
            model.draw_request(now) if kind is None else model.new_request(now, model.kinds[kind], work)
        )
        self.schedule_next()

    def send_attempt(self, request):
        """Sends one attempt; the request is lost once its client timeout has passed."""
        now = self.scheduler.now()
        timeout = self.model.attempt(now, request)
        if timeout is None:
            self.finish(request, "lost")
            return
        request.timer = self.scheduler.after(
            timeout, self.on_attempt_end, request.ident, request.attempts, "timeout"
        )
        self.link.put(
            Request(request.ident, request.kind.external_id, request.work, timeout, request.attempts)
        )

    def on_message(self, end):
        """Handles a message of the proxy."""
        if isinstance(end, RequestEnd):
            self.on_attempt_end(end.ident, end.attempt, end.how, end.wait)

    def on_attempt_end(self, ident, attempt, how, retry_after=0):
        """Ends an attempt, and retries or finishes its request; `retry_after`: ns the proxy asks to wait."""
        found = self.model.attempt_ended(self.scheduler.now(), ident, attempt, how, retry_after)
        if found is None:
            return
        request, verdict, duration = found
        request.timer.cancel()
        if verdict == "again":
            self.scheduler.after(duration, self.send_attempt, request)
        else:
            self.finish(request, verdict, duration)

    def finish(self, request, how, duration=0):
        """Reports the outcome of a request and its duration in ns."""
        if self.on_ended:
            self.on_ended(self.scheduler.now(), request.arrived_at, request.kind, how, duration)
        self.check_idle()

    def check_idle(self):
        """Lets `run` return once nothing is sent any more and no request is pending."""
        if not self.model.pending and not self.until:
            self.idle.set()
