"""A day without streams: the daemon's desk and core, proxies, clients and backends as models round one event
heap.

The same day's text, the same faults, the same models as on sockets; a message is a planned call, not bytes.
What needs true streams (half a message, strangers' noise) is refused. Controllers are core.Desk, with
`policy/` inside.
"""

from embertray.controller.core import Instance
from embertray.controller.trust import Trust
from embertray.service.site.site import time as span
from embertray.simulation.models.backend import Backend
from embertray.simulation.models.client import Clients
from embertray.simulation.scenarios.exceptions import DayError
from embertray.simulation.scenarios.faults import Fault
from embertray.simulation.scenarios.observer import Observer
from embertray.simulation.scenarios.setup import SETTLE, START_AFTER, ScenarioSetup

from .backend import SimulatedBackend
from .clients import SimulatedClients
from .controllers import SimulatedControllers
from .engine import Engine, S
from .inventory import SimulatedInventory
from .proxy import SimulatedProxy

START = 1000 * S  # what started "long ago" lies before it
STREAMS_ONLY = ("half-message", "twice", "garbage")


class Unseen(Observer):
    """For runs whose rules nobody judges: outcomes are kept, events are not."""

    def note(self, at, what, who, *rest):
        pass


class DaySimulation(ScenarioSetup):
    """All that a day has on it. `watched`: whether events are kept, for the rules' judgement."""

    proxy = SimulatedProxy

    def __init__(self, day, seed, core=None, trust=None, watched=True):
        for fault in day.faults:
            if fault.name in STREAMS_ONLY:
                raise DayError(
                    f"{day.name}:{fault.line}: '{fault.name}' needs true streams: play it on "
                    "sockets or in memory"
                )
        if day.linked:
            raise DayError(
                f"{day.name}:{day.linked.line}: '{day.linked.name}' strikes links between "
                "processes: play it with --processes"
            )
        super().__init__(day, seed)
        self.seed, self.make, self.watched = seed, (core or Instance, trust or Trust), watched
        self.engine = self.clock = self.agenda = Engine(START)
        self.eyes = Observer() if watched else Unseen()
        self.by_name, self.cross, self.numbers = {}, span(day.fleet["cross"]), 0
        self.ladder = []  # (ns, controller, degrade.Change)
        self.inventory = SimulatedInventory(self, span(day.fleet["answers"]))
        self.held = SimulatedControllers(self)

    def between(self, here, there):
        """ns from a proxy to a backend, and back again."""
        return self.cross if here != there else 0

    async def add(self, number, zone, speed, cold, listed=True):
        model = Backend(
            f"127.{number // 65025 + 1}.{number // 255 % 255}.{number % 255 + 1}:80", zone, self.shape(speed)
        )
        backend = SimulatedBackend(self, model, self.chance.of("failing", number).random)
        self.models[model.name], self.by_name[model.name] = model, backend
        self.backends.append(backend)
        backend.start(cold)
        if cold:
            self.eyes.note(self.engine.time, "started", model.name)
        if listed:
            self.inventory.list(model.name, zone, "ready", self.engine.time if cold else 0)
        return backend

    async def admin(self, name, method, target):
        """The one request that faults make of a controller: the channel's pace."""
        con = self.held.running.get(name)
        if con is None:
            raise ConnectionRefusedError(name)
        con.desk.instance.pacer.set_pace(self.engine.time, float(target.partition("=")[2]))
        con.poke()

    async def run(self):
        """The day, as a process of the engine."""
        engine, day = self.engine, self.day
        for n, zone, speed in self.machines():
            await self.add(n, zone, speed, cold=False)
        for name in self.held.at:
            await self.held.up(name)
        await engine.sleep_until(engine.time + START_AFTER)
        self.zero = engine.time
        ready, shares = [backend.model for backend in self.backends], self.shares()
        spread = span(day.fleet["spread"])
        for n in range(self.count):
            rng, zone = self.chance.of("proxy", n), self.site.zones[n % len(self.site.zones)]
            proxy = self.proxy(
                self,
                f"p{n + 1}",
                zone,
                day.rate * shares[n],
                rng,
                self.standing(rng, zone, ready),
                self.way(n),
            )
            proxy.home = n % len(self.held.at)
            self.proxies.append(proxy)
            engine.at(self.zero + spread * n // max(1, self.count), proxy.start)
        self.prepare(shares)
        await engine.sleep_until(self.zero + spread)
        self.load(shares, self.zero + day.lasts)
        for fault in day.faults:
            engine.start(Fault(self, fault).run())

    def prepare(self, shares):
        """The proxies are there, none has dialled yet."""

    def load(self, shares, until):
        """Reqs one by one."""
        mix, retries = self.mix(), int(self.day.load["retries"])
        for n, proxy in enumerate(self.proxies):
            rng = self.chance.of("clients", n)
            SimulatedClients(
                self,
                Clients(n + 1, mix, rng, retries),
                self.source(n, self.day.rate * shares[n]),
                proxy,
                rng,
                until,
            ).plan()

    def play(self, progress=None):
        """The day, from its start to some seconds after the last req."""
        engine = self.engine
        engine.start(self.run())
        engine.run(START + START_AFTER)
        patience = max(kind.client_timeout for kind in self.site.kinds)
        end = self.zero + self.day.lasts
        while engine.time < end + patience + SETTLE:
            engine.run(min(engine.time + S, end + patience + SETTLE))
            if progress:
                progress((engine.time - self.zero) / S, (end - self.zero) / S, len(self.eyes.outcomes))
        self.eyes.end(engine.time)
        return self
