"""Proxies and backends as flows: a second's reqs of a proxy are one draw, and a req is no object.

The proxies are real peers of the controller: they dial, hold tables, answer marks and send sums. What they
met is drawn each report cycle: reqs by Poisson, their spread over lines by the weights; the backends are
model.Backend, by `pour`.
"""

import anyio

from embertray.common.net.queued_connection import QueuedConnection
from embertray.controller.stream.exceptions import ProtocolError
from embertray.controller.stream.holding import Holding
from embertray.controller.stream.messages import (
    Acknowledgement,
    ArrivalTotals,
    BackendTotals,
    LoadReport,
    Orders,
)
from embertray.controller.stream.session import ProxySession
from embertray.simulation.models.backend import Backend, Shape
from embertray.simulation.standins.link import STREAM_ERRORS

S = 10**9
CORES = 2  # of a backend
PATIENCE = 2 * S  # ns until a req is given up


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
                except* (*STREAM_ERRORS, ProtocolError):
                    pass
                await self.fleet.clock.sleep_until(self.fleet.clock.now() + wait)

    async def stay(self):
        self.end, wait = ProxySession(self.name, self.zone, self.rate, True), 0
        async with (
            await self.fleet.net.dial(self.fleet.address) as stream,
            anyio.create_task_group() as group,
        ):
            conn = QueuedConnection(stream)
            conn.put(self.end.start())
            group.start_soon(conn.write)
            try:
                while not self.end.over:
                    for message in self.end.receive(await conn.read()):
                        if isinstance(message, Orders):
                            self.orders += 1
                            self.holding.apply(message)
                            if message.nonce:
                                conn.put(self.end.pack(Acknowledgement(message.nonce)))
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
        self.scope.cancel()  # before it has started, too


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
        shape = Shape(CORES, capacity * self.work / (CORES * S), cold_from=cold_from, warm_after=warm_after)
        backend = self.backends[name] = Backend(name, zone, shape)
        backend.start(started, cold=bool(started))
        self.inventory.list(name, zone, "ready", started)
        return name

    def add_proxy(self, zone, rate):
        proxy = FlowProxy(f"px-{self.new('px')}", zone, rate, self)
        self.proxies[proxy.name] = proxy
        self.group.start_soon(proxy.run)
        return proxy

    async def tick(self):
        """One cycle: every proxy's reqs are drawn, every backend is settled, every joined proxy sends its
        sums.
        """
        now, drawn, came = self.clock.now(), [], {}
        for proxy in self.proxies.values():
            count = int(self.rng.poisson(proxy.rate * self.cycle / S))
            picks = proxy.holding.picks()
            self.reqs += count
            if not picks:
                self.nowhere += count
                drawn.append((proxy, count, {}))
                continue
            names, total = list(picks), sum(picks.values())
            spread = self.rng.multinomial(count, [w / total for w in picks.values()])
            tries = {name: int(n) for name, n in zip(names, spread, strict=False) if n}
            for name, n in tries.items():
                came[name] = came.get(name, 0) + n
            drawn.append((proxy, count, tries))
        met_at = {
            name: backend.pour(now, self.cycle, came.get(name, 0), self.work, PATIENCE)
            for name, backend in self.backends.items()
        }
        loads = {name: backend.report(now) for name, backend in self.backends.items()}
        for proxy, count, tries in drawn:
            met, lost = [], 0
            for name, n in tries.items():
                got = met_at.get(name)
                bad = n if got is None else round(n * (1 - got.done))
                lost += bad
                met.append(
                    BackendTotals(name, n, bad, (n - bad) * (got.took if got else 0), loads.get(name, {}))
                )
            self.errored += lost
            if proxy.conn is not None:
                share = [count // len(self.kinds)] * len(self.kinds)
                share[0] += count - sum(share)
                came = [ArrivalTotals(kind, part, 0) for kind, part in zip(self.kinds, share, strict=False)]
                proxy.conn.put(proxy.end.pack(LoadReport(self.cycle, met, came)))
