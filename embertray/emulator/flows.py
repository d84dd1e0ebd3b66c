"""Proxies and backends as flows: a second's reqs of a proxy are one draw, and a req is no object.

The proxies are real peers of the controller: they dial, hold tables, answer marks and send sums. What they met is drawn
each report cycle: reqs by Poisson, their spread over lines by the weights, latency by how full each backend is.
"""
import anyio

from ..net.conn import Conn
from ..stream.holding import Holding
from ..stream.messages import Answer, Came, Met, Orders, Sums
from ..stream.session import ProxyEnd, Refused
from ..standin.parts import BROKEN

S = 10**9
FULLEST = 0.95          # of its capacity: fuller than this the rest of a second's reqs errs (the queue is full)


class FlowBackend:
    """`capacity`: reqs a second when warm."""

    def __init__(self, name, zone, capacity, started=0, cold_from=1.0, warm_after=0):
        self.name, self.zone, self.capacity, self.started = name, zone, capacity, started
        self.cold_from, self.warm_after, self.up, self.came = cold_from, warm_after, True, 0
        self.full, self.took = 0.0, 0

    def settle(self, now, span, work):
        """A cycle's reqs have come: how full it was, and what a req took (ns)."""
        warm = 1.0
        if self.started and self.warm_after and now - self.started < self.warm_after:
            warm = self.cold_from + (1 - self.cold_from) * (now - self.started) / self.warm_after
        able = self.capacity * warm * span / S
        self.full = self.came / able if able else 0.0
        self.took = int(work / (1 - min(self.full, FULLEST)))
        self.came = 0


class FlowProxy:
    """One proxy's stream and what it holds."""

    def __init__(self, name, zone, rate, fleet):
        self.name, self.zone, self.rate, self.fleet = name, zone, rate, fleet
        self.holding, self.end, self.conn, self.scope = Holding(), None, None, anyio.CancelScope()
        self.orders = 0

    async def run(self):
        """Stays joined, dialling again after a break, until `leave`."""
        with self.scope:
            while True:
                wait = S // 2
                try:
                    wait = max(wait, await self.stay())
                except* (*BROKEN, Refused):
                    pass
                await self.fleet.clock.sleep_until(self.fleet.clock.now() + wait)

    async def stay(self):
        self.end, wait = ProxyEnd(self.name, self.zone, self.rate, True), 0
        async with await self.fleet.net.dial(self.fleet.address) as stream, anyio.create_task_group() as group:
            conn = Conn(stream)
            conn.put(self.end.start())
            group.start_soon(conn.write)
            try:
                while not self.end.over:
                    for message in self.end.receive(await conn.read()):
                        if isinstance(message, Orders):
                            self.orders += 1
                            self.holding.apply(message)
                            if message.mark:
                                conn.put(self.end.pack(Answer(message.mark)))
                        elif self.end.over:
                            wait = message.wait
                        else:
                            self.conn = conn
            finally:
                self.conn = None
                self.holding.left()
                group.cancel_scope.cancel()
        return wait

    def leave(self):
        self.scope.cancel()         # before it has started, too


class FlowFleet:
    """Backends and proxies round one controller's address. `tick` plays one report cycle of all."""

    def __init__(self, net, clock, address, rng, inventory, kinds, cycle=S, work=S // 8):
        self.net, self.clock, self.address, self.rng, self.inventory = net, clock, address, rng, inventory
        self.kinds, self.cycle, self.work = kinds, cycle, work
        self.backends, self.proxies, self.group = {}, {}, None
        self.reqs = self.errored = self.nowhere = 0
        self.numbers = {"be": 0, "px": 0}
        self.failed = set()

    def new(self, what):
        self.numbers[what] += 1
        return self.numbers[what]

    def add_backend(self, zone, capacity, started=0, cold_from=1.0, warm_after=0):
        n = self.new("be")
        name = f"127.{n // 62500 % 250}.{n // 250 % 250}.{n % 250 + 1}:9{n % 1000:03}"
        self.backends[name] = FlowBackend(name, zone, capacity, started, cold_from, warm_after)
        self.inventory.list(name, zone, "ready", started)
        return name

    def add_proxy(self, zone, rate):
        px = FlowProxy(f"px-{self.new('px')}", zone, rate, self)
        self.proxies[px.name] = px
        self.group.start_soon(px.run)
        return px

    async def tick(self):
        """One cycle: every proxy's reqs are drawn, every backend is settled, every joined proxy sends its sums."""
        now, drawn = self.clock.now(), []
        for px in self.proxies.values():
            count = int(self.rng.poisson(px.rate * self.cycle / S))
            picks = px.holding.picks()
            self.reqs += count
            if not picks:
                self.nowhere += count
                drawn.append((px, count, {}))
                continue
            names, total = list(picks), sum(picks.values())
            spread = self.rng.multinomial(count, [w / total for w in picks.values()])
            tries = {name: int(n) for name, n in zip(names, spread) if n}
            for name, n in tries.items():
                if name in self.backends:
                    self.backends[name].came += n
            drawn.append((px, count, tries))
        for be in self.backends.values():
            be.settle(now, self.cycle, self.work)
        for px, count, tries in drawn:
            met, lost = [], 0
            for name, n in tries.items():
                be = self.backends.get(name)
                if be is None or not be.up:
                    bad = n
                else:
                    bad = int(n * max(0.0, 1 - FULLEST / be.full)) if be.full > FULLEST else 0
                lost += bad
                load = {"busy": round(min(1.0, be.full), 3)} if be else {}
                met.append(Met(name, n, bad, (n - bad) * (be.took if be else 0), load))
            self.errored += lost
            if px.conn is not None:
                share = [count // len(self.kinds)] * len(self.kinds)
                share[0] += count - sum(share)
                came = [Came(kind, part, 0) for kind, part in zip(self.kinds, share)]
                px.conn.put(px.end.pack(Sums(self.cycle, met, came)))
