"""A plain proxy: it does exactly what its tables say, and nothing else.

It picks a line by weight, tries again only as its levels say, keeps what it holds when its stream breaks and dials the
next controller. It judges no backend itself, except that it may eject one for a while after a run of its own failures,
where the site says so.
"""
from bisect import bisect
from itertools import accumulate

import anyio

from ..net.conn import Conn
from ..stream.holding import Holding
from ..stream.messages import Answer, Came, Met, Orders, Sums
from ..stream.session import ProxyEnd, Refused
from .messages import End, Req, encode, read
from .parts import BROKEN, Link

S = 10**9
EJECT = 3 * S               # ns that an ejected backend is left alone
REDIAL = (S // 5, 2 * S)    # ns; delay before the next dial, first and longest
CONNECT = S // 4            # ns a connection may take


class Underway:
    """A req at the proxy: where it is now, and what was tried."""

    __slots__ = ("req", "link", "at", "until", "tried", "backend", "sent", "timer", "attempt", "again", "left")

    def __init__(self, req, link, at, again):
        self.req, self.link, self.at, self.until = req, link, at, at + req.within
        self.tried, self.attempt, self.again = [], 0, again
        self.left = (0, 1, 1, 2)[again]
        self.backend = self.timer = None
        self.sent = 0


class Heard:
    __slots__ = ("tries", "errored", "latency", "load")

    def __init__(self):
        self.tries = self.errored = self.latency = 0
        self.load = {}


class Target:
    """One backend as this proxy has it: a connection, reqs out, failures in a row."""

    def __init__(self):
        self.link, self.dialling, self.waiting, self.out, self.fails, self.ejected = None, False, [], 0, 0, 0
        self.current = 0.0          # for picking in rounds


class StandinProxy:
    """`eyes` sees what crosses its sockets: joined, left, orders, sent (days/observer.py). `way()` gives ns that an
    order takes from the socket to its effect."""

    def __init__(self, name, zone, site, controllers, net, agenda, rng, rate=0.0, standing=(), eyes=None,
                 way=lambda: 0):
        self.name, self.zone, self.site, self.net, self.agenda, self.rng = name, zone, site, net, agenda, rng
        self.controllers, self.rate, self.eyes, self.way = list(controllers), rate, eyes, way
        self.first = list(standing)
        self.holding, self.fresh, self.joined = Holding(standing), True, None
        self.targets, self.reqs, self.heard, self.came = {}, {}, {}, {}
        self.kinds = {kind.door: kind for kind in site.kinds}
        self.group, self.scope, self.conn = None, None, None
        self.cut_off = self.still = self.deaf = False
        self.held_back, self.lag, self.buckets, self.since, self.last_due = [], 0, {}, 0, 0
        self.home = self.serial = 0
        self.bad = set()                # backends that it can't reach

    # ---- its stream to a controller

    async def run(self, address="127.0.0.1:0", *, task_status=anyio.TASK_STATUS_IGNORED):
        listener = await self.net.listen(address)
        try:
            async with anyio.create_task_group() as group:
                self.group = group
                group.start_soon(self.follow)
                group.start_soon(self.report)
                task_status.started(listener.address)
                await listener.serve(self.client, group)
        finally:
            with anyio.CancelScope(shield=True):
                await listener.aclose()

    async def follow(self):
        """Dials the controllers in turn, from its own on; waits longer when none answers."""
        at, wait, tries = self.home, REDIAL[0], 0
        while True:
            asked = 0
            if not self.cut_off:
                try:
                    asked = await self.stay(self.controllers[at % len(self.controllers)])
                    wait, tries = REDIAL[0], 0
                except* (*BROKEN, Refused):
                    pass
            at += 1
            tries += 1
            pause = max(asked, wait * (0.5 + self.rng.random()))
            if tries % len(self.controllers) == 0:
                wait = min(REDIAL[1], wait * 2)
            await anyio.sleep(pause / 1e9)

    async def stay(self, address):
        """One stream, to its end; ns that the controller asks it to stay away."""
        end, asked = ProxyEnd(self.name, self.zone, self.rate, self.fresh), 0
        stream = await self.net.dial(address)
        self.scope = anyio.CancelScope()
        with self.scope:
            async with stream, anyio.create_task_group() as group:
                self.conn = Conn(stream)
                self.conn.put(end.start())
                group.start_soon(self.write, self.conn, self.scope)
                try:
                    while not end.over:
                        while self.deaf:                # it does not read: its sockets fill up
                            await anyio.sleep(0.05)
                        for message in end.receive(await self.conn.read()):
                            if isinstance(message, Orders):
                                self.on_orders(end, message)
                            elif end.over:
                                asked = message.wait
                            else:
                                self.on_joined(end, address, message)
                finally:
                    if self.joined is end:
                        self.joined, self.conn = None, None
                        self.holding.left()
                        if self.eyes:
                            self.eyes.left(self.agenda.now(), self.name)
                group.cancel_scope.cancel()
        return asked

    def on_joined(self, end, address, welcome):
        self.joined, self.fresh = end, False
        self.heard, self.came, self.since = {}, {}, self.agenda.now()
        if self.eyes:
            self.eyes.joined(self.agenda.now(), self.name, welcome.controller)

    def on_orders(self, end, orders):
        now = self.agenda.now()
        if self.eyes:
            self.eyes.orders(now, self.name, orders)
        self.last_due = max(self.last_due + 1, now + self.way())
        self.agenda.at(self.last_due, self.apply, end, orders)

    def apply(self, end, orders):
        if end is not self.joined:      # the stream broke while it was under way
            return
        if self.still:
            self.held_back.append((self.apply, end, orders))
            return
        self.holding.apply(orders)
        if self.eyes:
            self.eyes.applied(self.agenda.now(), self.name, orders)
        if orders.mark is not None:
            self.say(end, Answer(orders.mark))

    def say(self, end, message):
        if end is self.joined:
            self.conn.put(end.pack(message))

    @staticmethod
    async def write(conn, scope):
        try:
            await conn.write()
        except BROKEN:
            scope.cancel()

    def break_stream(self):
        if self.scope:
            self.scope.cancel()

    async def report(self):
        """Sums each cycle to whom it is joined to; `lag` ns late."""
        while True:
            await anyio.sleep(self.site.report_cycle / 1e9)
            now, end = self.agenda.now(), self.joined
            heard, came, span = self.heard, self.came, now - self.since
            self.heard, self.came, self.since = {}, {}, now
            if end and not self.still:
                met = [Met(be, h.tries, h.errored, h.latency, h.load) for be, h in heard.items()]
                sums = Sums(span, met, [Came(kind, *counts) for kind, counts in came.items()])
                self.agenda.after(self.lag, self.say, end, sums)

    # ---- reqs

    async def client(self, stream):
        link = Link(stream, encode, read, lambda m: self.on_req(link, m))
        await link.run()

    def on_req(self, link, req):
        if self.still:
            self.held_back.append((self.on_req, link, req))
            return
        came = self.came.setdefault(req.kind, [0, 0])
        came[0] += 1
        level, again = self.holding.levels.get(req.kind, (None, self.site.base_retry))
        if not self.admits(req.kind, level):
            link.put(End(req.ident, req.attempt, "denied"))
            return
        under = Underway(req, link, self.agenda.now(), again)
        self.attempt(under)

    def admits(self, kind, level):
        if level is None or self.site.levels == "none":
            return True
        if self.site.levels == "share":
            return level >= 1 or self.rng.random() < level
        now = self.agenda.now()
        tokens, at = self.buckets.get(kind, (1.0, now))
        most = max(1.0, level / 4)              # a quarter second's worth may come at once
        tokens = min(most, tokens + level * (now - at) / S)
        self.buckets[kind] = (tokens - 1 if tokens >= 1 else tokens), now
        return tokens >= 1

    def pick(self, tried):
        now = self.agenda.now()
        lines = {name: w for name, w in self.holding.picks().items()
                 if name not in tried and self.target(name).ejected <= now}
        if not lines:
            return None
        names = list(lines)
        if self.site.picks == "round":
            total = 0.0
            for name in names:
                self.targets[name].current += lines[name]
                total += lines[name]
            best = max(names, key=lambda name: self.targets[name].current)
            self.targets[best].current -= total
            return best
        sums = list(accumulate(lines.values()))
        drawn = [names[min(bisect(sums, self.rng.random() * sums[-1]), len(names) - 1)]
                 for _ in range(2 if self.site.picks == "two" else 1)]
        return min(drawn, key=lambda name: self.targets[name].out)

    def target(self, name):
        found = self.targets.get(name)
        if found is None:
            found = self.targets[name] = Target()
        return found

    def attempt(self, under):
        now = self.agenda.now()
        name = self.pick(under.tried)
        if name is None or now >= under.until:
            self.finish(under, "denied" if name is None and not under.tried else "error")
            return
        self.serial += 1
        under.attempt = self.serial             # of this proxy's tries, so that late answers find no other
        under.backend, under.sent = name, now
        under.tried.append(name)
        target = self.target(name)
        target.out += 1
        within = under.until - now
        if under.again >= 2 and under.left:
            within = min(within, int(self.site.per_try * self.kinds[under.req.kind].response_target))
        under.timer = self.agenda.after(within, self.ended, under, under.attempt, "timeout", {})
        if target.link is None or target.link.over:
            target.waiting.append((under, under.attempt))
            if not target.dialling:
                target.dialling = True
                self.group.start_soon(self.connect, name, target)
        else:
            self.send_req(target, under)

    async def connect(self, name, target):
        link = None
        try:
            with anyio.move_on_after(CONNECT / 1e9):
                if name in self.bad:
                    raise ConnectionRefusedError
                stream = await self.net.dial(name)
                link = target.link = Link(stream, encode, read, self.on_end, lambda: self.on_broken(name, target, link))
        except BROKEN:
            pass
        target.dialling = False
        waiting, target.waiting = target.waiting, []
        for under, attempt in waiting:
            if under.attempt != attempt or under.backend is None:
                continue
            if link is None:
                self.ended(under, attempt, "refused", {})
            else:
                self.send_req(target, under)
        if link is not None:
            await link.run()

    def send_req(self, target, under):
        self.reqs[under.attempt] = under
        req = under.req
        within = max(1, under.until - self.agenda.now())
        sent = Req(under.attempt, req.kind, req.work, within, len(under.tried), self.name)
        target.link.put(sent)
        if self.eyes:
            self.eyes.sent(self.agenda.now(), self.name, under.backend, sent, (req.ident, req.attempt))

    def on_broken(self, name, target, link):
        """The connection is gone: what was out on it may have run."""
        if target.link is link:
            target.link = None
            for attempt, under in list(self.reqs.items()):
                if under.backend == name:
                    self.ended(under, attempt, "broken", {})

    def on_end(self, end):
        under = self.reqs.get(end.ident)
        if under:
            self.ended(under, end.ident, end.how, end.load)

    def ended(self, under, attempt, how, load):
        """A try ended: done, full, error, broken, timeout or refused (never sent)."""
        if under.attempt != attempt or under.backend is None:
            return
        now, name = self.agenda.now(), under.backend
        self.reqs.pop(attempt, None)
        under.timer.cancel()
        under.backend = None
        target = self.target(name)
        target.out -= 1
        heard = self.heard.get(name)
        if heard is None:
            heard = self.heard[name] = Heard()
        heard.tries += 1
        heard.load = load or heard.load
        if how == "done":
            heard.latency += now - under.sent
            target.fails = 0
            self.finish(under, "done")
            return
        heard.errored += 1
        target.fails += 1
        if self.site.eject_after and target.fails >= self.site.eject_after:
            target.ejected, target.fails = now + EJECT, 0
        proof = how == "refused" or how == "full" and not self.site.full_may_have_run
        if self.eyes:
            self.eyes.failed(now, self.name, name, (under.req.ident, under.req.attempt), how)
        if under.left and now < under.until and (under.again >= 2 or proof):
            under.left -= 1
            self.attempt(under)
        else:
            self.finish(under, "error")

    def finish(self, under, how):
        if how == "error":
            counts = self.came.setdefault(under.req.kind, [0, 0])
            counts[1] += 1
        under.link.put(End(under.req.ident, under.req.attempt, how))

    # ---- what goes wrong with it

    def stand_still(self):
        self.still = True

    def go_on(self):
        self.still = False
        held, self.held_back = self.held_back, []
        for what, *args in sorted(held, key=lambda one: one[0] != self.apply):     # orders before reqs
            what(*args)
