"""Clients on sockets: requests by chance at a rate, with time-outs and retries of their own
(models/client.py).
"""

import anyio

from embertray.simulation.models.arrivals import Poisson
from embertray.simulation.models.client import Clients

from .link import Link
from .messages import Request, RequestEnd, encode, read

S = 10**9


class StandinClients:
    """The clients of one proxy. `mix`: [(RequestKind, share, mean work ns)]; `rate(now)` requests a second,
    or a source of models/arrivals.py; `ended(now, at, kind, how, took)` for each request, how: done | late |
    lost.
    """

    def __init__(self, number, mix, rate, net, scheduler, rng, retries=1, wait=S // 5, ended=None):
        self.model, self.rng = Clients(number, mix, rng, retries, wait), rng
        self.source = rate if hasattr(rate, "next") else Poisson(rate)
        self.net, self.scheduler, self.ended = net, scheduler, ended
        self.link, self.until = None, 0
        self.idle = anyio.Event()

    async def run(self, address, until):
        """Sends until `until` (ns), then waits for what is open."""
        self.until = until
        stream = await self.net.dial(address)
        self.link = Link(stream, encode, read, self.on_end)
        async with anyio.create_task_group() as group:
            group.start_soon(self.link.run)
            self.plan()
            await self.idle.wait()
            group.cancel_scope.cancel()

    def plan(self):
        when, kind, work = self.source.next(self.scheduler.now(), self.rng, self.until)
        if when is None:
            self.scheduler.at(self.until, self.settle)
        else:
            self.scheduler.at(when, self.send, kind, work)

    def settle(self):
        self.until = 0
        self.look()

    def send(self, kind, work):
        now, model = self.scheduler.now(), self.model
        self.put(model.draw_request(now) if kind is None else model.new_request(now, model.kinds[kind], work))
        self.plan()

    def put(self, ask):
        """One try; the client gives up on the whole request at its client timeout."""
        now = self.scheduler.now()
        within = self.model.attempt(now, ask)
        if within is None:
            self.close(ask, "lost")
            return
        ask.timer = self.scheduler.after(within, self.heard, ask.ident, ask.attempts, "timeout")
        self.link.put(Request(ask.ident, ask.kind.external_id, ask.work, within, ask.attempts))

    def on_end(self, end):
        if isinstance(end, RequestEnd):
            self.heard(end.ident, end.attempt, end.how, end.wait)

    def heard(self, ident, tries, how, stay=0):
        found = self.model.attempt_ended(self.scheduler.now(), ident, tries, how, stay)
        if found is None:
            return
        ask, verdict, span = found
        ask.timer.cancel()
        if verdict == "again":
            self.scheduler.after(span, self.put, ask)
        else:
            self.close(ask, verdict, span)

    def close(self, ask, how, took=0):
        if self.ended:
            self.ended(self.scheduler.now(), ask.arrived_at, ask.kind, how, took)
        self.look()

    def look(self):
        if not self.model.pending and not self.until:
            self.idle.set()
