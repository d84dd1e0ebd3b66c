"""Clients on sockets: requests by chance at a rate, with time-outs and retries of their own
(models/client.py).
"""

import anyio

from embertray.simulation.models.arrivals import Poisson
from embertray.simulation.models.client import Clients

from .link import Link
from .messages import Request, RequestEnd, decode, encode

S = 10**9


class StandinClients:
    """The clients of one proxy. `mix`: [(RequestKind, share, mean work ns)]; `rate(now)` requests a second,
    or a source of models/arrivals.py; `ended(now, at, kind, how, took)` for each request, how: done | late |
    lost.
    """

    def __init__(self, number, mix, rate, net, scheduler, rng, retries=1, retry_delay=S // 5, ended=None):
        self.model, self.rng = Clients(number, mix, rng, retries, retry_delay), rng
        self.source = rate if hasattr(rate, "next") else Poisson(rate)
        self.net, self.scheduler, self.ended = net, scheduler, ended
        self.link, self.until = None, 0
        self.idle = anyio.Event()

    async def run(self, address, until):
        """Sends until `until` (ns), then waits for what is open."""
        self.until = until
        stream = await self.net.dial(address)
        self.link = Link(stream, encode, decode, self.on_message)
        async with anyio.create_task_group() as group:
            group.start_soon(self.link.run)
            self.schedule_next()
            await self.idle.wait()
            group.cancel_scope.cancel()

    def schedule_next(self):
        when, kind, work = self.source.next(self.scheduler.now(), self.rng, self.until)
        if when is None:
            self.scheduler.at(self.until, self.stop_sending)
        else:
            self.scheduler.at(when, self.send, kind, work)

    def stop_sending(self):
        self.until = 0
        self.check_idle()

    def send(self, kind, work):
        now, model = self.scheduler.now(), self.model
        self.send_attempt(
            model.draw_request(now) if kind is None else model.new_request(now, model.kinds[kind], work)
        )
        self.schedule_next()

    def send_attempt(self, request):
        """One try; the client gives up on the whole request at its client timeout."""
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
        if isinstance(end, RequestEnd):
            self.on_attempt_end(end.ident, end.attempt, end.how, end.wait)

    def on_attempt_end(self, ident, attempt, how, retry_after=0):
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
        if self.ended:
            self.ended(self.scheduler.now(), request.arrived_at, request.kind, how, duration)
        self.check_idle()

    def check_idle(self):
        if not self.model.pending and not self.until:
            self.idle.set()
