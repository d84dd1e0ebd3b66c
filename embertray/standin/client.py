"""Clients: reqs by chance at a rate, with time-outs and retries of their own; what they got is counted as credit."""
import anyio

from .messages import End, Req, encode, read
from .parts import Link

S = 10**9


class Ask:
    """One req from its first try to its end."""

    __slots__ = ("kind", "at", "tries", "timer", "work")

    def __init__(self, kind, at, work):
        self.kind, self.at, self.work, self.tries, self.timer = kind, at, work, 0, None


class StandinClients:
    """The clients of one proxy. `mix`: [(ReqKind, share, mean work ns)]; `rate(now)` reqs a second; `ended(now, kind,
    how, took)` for each req, how: done | late | lost."""

    def __init__(self, number, mix, rate, net, agenda, rng, retries=1, wait=S // 5, ended=None):
        self.number, self.mix, self.rate, self.net, self.agenda, self.rng = number, mix, rate, net, agenda, rng
        self.retries, self.wait, self.ended = retries, wait, ended
        self.link, self.open, self.count, self.until = None, {}, 0, 0
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
        now = self.agenda.now()
        rate = self.rate(now)
        gap = int(self.rng.exponential(S / rate)) if rate > 0 else S // 10
        if now + gap >= self.until:
            self.agenda.at(self.until, self.settle)
        else:
            self.agenda.at(now + gap, self.send if rate > 0 else self.plan)

    def settle(self):
        self.until = 0
        if not self.open:
            self.idle.set()

    def send(self):
        draw, self.count = self.rng.random(), self.count + 1
        for kind, share, mean in self.mix:
            draw -= share
            if draw < 0:
                break
        work = int(mean * self.rng.gamma(4.0, 0.25))        # mean 1, half as wide as it is high
        ident = self.number << 32 | self.count
        self.open[ident] = ask = Ask(kind, self.agenda.now(), work)
        self.put(ident, ask)
        self.plan()

    def put(self, ident, ask):
        """One try; the client gives up on the whole req at its client timeout."""
        now, ask.tries = self.agenda.now(), ask.tries + 1
        left = ask.at + ask.kind.client_timeout - now
        if left <= 0:
            self.close(ident, ask, "lost")
            return
        within = left if ask.tries > self.retries else max(1, left // 2)
        ask.timer = self.agenda.after(within, self.gave_up, ident, ask.tries)
        self.link.put(Req(ident, ask.kind.door, ask.work, within, ask.tries))

    def on_end(self, end):
        ask = self.open.get(end.ident)
        if ask is None or not isinstance(end, End) or end.attempt != ask.tries:
            return
        if end.how == "done":
            took = self.agenda.now() - ask.at
            self.close(end.ident, ask, "done" if took <= ask.kind.response_target else "late", took)
        else:
            self.again(end.ident, ask, end.how == "denied")

    def gave_up(self, ident, tries):
        ask = self.open.get(ident)
        if ask and ask.tries == tries:
            self.again(ident, ask, False)

    def again(self, ident, ask, denied):
        """Only what may run twice is sent again, and what was denied: that never ran."""
        ask.timer.cancel()
        if ask.tries <= self.retries and (denied or ask.kind.again != "non-replayable"):
            self.agenda.after(int(self.wait * (0.5 + self.rng.random())), self.put, ident, ask)
        else:
            self.close(ident, ask, "lost")

    def close(self, ident, ask, how, took=0):
        del self.open[ident]
        if ask.timer:
            ask.timer.cancel()
        if self.ended:
            self.ended(self.agenda.now(), ask.at, ask.kind, how, took)
        if not self.open and not self.until:
            self.idle.set()
