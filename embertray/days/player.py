"""Plays a day: fleet, load and troubles round true controllers, and judges it by what the sockets carried.

Two ways with the same stand-ins and the same daemon: `virtual` (streams in memory, a clock that jumps; the same seed
is the same run) and `sockets` (loopback TCP in real time, each controller a process of its own).
"""
import logging
import tempfile
import time
from dataclasses import dataclass, replace
from pathlib import Path

import anyio
import structlog

from ..admin.ask import ask
from ..model.backend import Backend, Shape
from ..model.chance import Streams
from ..net.clock import LoopClock
from ..net.tcp import TcpNet
from ..site import load as load_site
from ..site.site import HERE as SITES, time as span
from ..standin.backend import StandinBackend
from ..standin.client import StandinClients
from ..standin.inventory import StandinInventory
from ..standin.parts import Agenda
from ..standin.proxy import StandinProxy
from ..standin.virtual import MemoryNet, VirtualClock, run as run_virtual
from . import controllers
from .observer import Observer
from .rules import NAMES, Checker
from .troubles import Trouble

S = 10**9
SETTLE = 4 * S          # ns after the last req that a day goes on: rules still count there
START_AFTER = S // 5    # ns between the controllers' start and the proxies'


@dataclass
class Result:
    """What a day gave. `rules`: rule -> what broke it (empty: kept); `spread`: ns from the inventory's news of a
    drain or an end to each proxy's changed table."""
    day: str
    mode: str
    seed: int
    rules: dict
    credit: float
    by_kind: dict
    reqs: int
    spread: list
    wall: float
    events: list

    @property
    def kept(self):
        return not any(self.rules.values())

    def verdicts(self):
        return {name: "broken" if self.rules[name] else "kept" for name in NAMES}

    def as_json(self):
        ranked = sorted(self.spread)

        def at(part):
            return round(ranked[min(len(ranked) - 1, int(part * len(ranked)))] / 1e6, 1) if ranked else None
        return {"day": self.day, "mode": self.mode, "seed": self.seed, "rules": self.verdicts(),
                "broken": {k: v for k, v in self.rules.items() if v}, "credit": round(self.credit, 4),
                "credit_by_kind": {k: round(v, 4) for k, v in self.by_kind.items()}, "reqs": self.reqs,
                "spread_ms": {"count": len(ranked), "p50": at(0.5), "p99": at(0.99), "max": at(1.0)},
                "wall_s": round(self.wall, 2)}


class Stage:
    """All that a day has on it. Troubles (troubles.py) act on this and on nothing else."""

    def __init__(self, day, seed, net, clock, held, progress=None):
        self.day, self.net, self.clock, self.held, self.progress = day, net, clock, held, progress
        self.chance, self.agenda, self.eyes = Streams(seed), Agenda(clock), Observer()
        sample = Path(day.site)
        if not sample.suffix:
            sample = SITES / "samples" / f"{day.site}.xml"
        self.sample = sample
        site = load_site(sample)
        self.site = site.at(**{k: type(getattr(site, k))(float(v)) if not isinstance(getattr(site, k), str) else v
                               for k, v in day.facts.items()})
        self.backends, self.proxies, self.clients, self.models = [], [], [], {}
        self.inventory = StandinInventory(net, self.agenda, span(day.fleet["answers"]), self.eyes.told)
        self.group, self.zero, self.factors, self.shifted = None, 0, {}, {}

    async def build(self):
        day, site = self.day, self.site
        await self.group.start(self.inventory.run, "127.0.0.1:0")
        draw = self.chance.of("machines")
        low, _, high = day.fleet["speed"].partition("..")
        for n in range(int(day.fleet["backends"])):
            speed = float(low) + (float(high or low) - float(low)) * draw.random()
            await self.add(n, site.zones[n % len(site.zones)], speed, cold=False)
        self.site = site = site.at(inventory=self.inventory.address)
        await self.held.start(self)
        await self.clock.sleep_until(self.clock.now() + START_AFTER)
        await self.people()

    async def add(self, number, zone, speed, cold, listed=True):
        """One more backend; its name is the address that it listens on."""
        day, site = self.day, self.site
        shape = Shape(int(day.fleet["cores"]), speed, int(day.fleet["queue"]), int(day.fleet["cap"]),
                      site.cold_from, site.warm_after)
        model = Backend("127.0.0.1:0", zone, shape)
        be = StandinBackend(model, self.net, self.agenda, self.chance.of("failing", number).random)
        await self.group.start(be.run)
        self.models[model.name] = model
        self.backends.append(be)
        be.start(cold)
        if cold:
            self.eyes.note(self.clock.now(), "started", model.name)
        if listed:
            self.inventory.list(model.name, zone, "ready", self.clock.now() if cold else 0)
        return be

    async def people(self):
        """Proxies and their clients: each has its own share of the reqs."""
        day, site, now = self.day, self.site, self.clock.now()
        self.zero = now
        count, ready = int(day.fleet["proxies"]), [be.model for be in self.backends]
        skew = float(day.load["skew"])
        draw = self.chance.of("shares")
        shares = [(1 + skew * (2 * draw.random() - 1)) for _ in range(count)]
        shares = [share / sum(shares) for share in shares]
        works = self.table(day.load["work"], lambda kind: kind.response_target // 10, span)
        parts = self.table(day.load["share"], lambda kind: 1.0, lambda text: float(text.rstrip("%")) / 100)
        total = sum(parts.values())
        mix = [(kind, parts[kind] / total, works[kind]) for kind in site.kinds]
        addresses = self.held.addresses()
        spread = span(day.fleet["spread"])
        for n in range(count):
            rng = self.chance.of("proxy", n)
            zone = site.zones[n % len(site.zones)]
            near = [m.name for m in ready if m.zone == zone] or [m.name for m in ready]
            pool = near if len(near) >= min(3, site.standing) else [m.name for m in ready]
            standing = [str(x) for x in rng.permutation(pool)[:site.standing]]
            px = StandinProxy(f"p{n + 1}", zone, site, addresses, self.net, self.agenda, rng,
                              day.rate * shares[n], standing, self.eyes, self.way(n))
            px.home = n % len(addresses)
            self.proxies.append(px)
        for n, px in enumerate(self.proxies):
            address = await self.group.start(px.run)
            clients = StandinClients(n + 1, mix, self.rate(n, day.rate * shares[n]), self.net, self.agenda,
                                     self.chance.of("clients", n), int(day.load["retries"]), ended=self.eyes.ended)
            self.clients.append((clients, address))
            if spread and count > 1:
                await self.clock.sleep_until(now + spread * (n + 1) // count)

    def table(self, text, usual, read):
        """'view:80ms,post:50ms' by request kind."""
        given = dict(part.split(":") for part in text.split(",") if part)
        return {kind: read(given[kind.door]) if kind.door in given else usual(kind) for kind in self.site.kinds}

    def way(self, n):
        """ns from a proxy's socket to an order's effect: about the site's mean, never past its most."""
        rng, site = self.chance.of("way", n), self.site
        return lambda: min(site.way_most, int(site.way_mean * (0.5 + rng.random())))

    def rate(self, n, usual):
        ramp = span(self.day.load["ramp"])

        def now_rate(now):
            part = min(1.0, (now - self.zero) / ramp) if ramp else 1.0
            return usual * part * self.factors.get(n, 1.0) * self.shifted.get(self.proxies[n].zone, 1.0)
        return now_rate

    async def play(self):
        """The day itself, from the first req to some seconds after the last."""
        async with anyio.create_task_group() as self.group:
            try:
                await self.build()
                end = self.zero + self.day.lasts
                async with anyio.create_task_group() as load:
                    for clients, address in self.clients:
                        load.start_soon(clients.run, address, end)
                    for trouble in self.day.troubles:
                        self.group.start_soon(Trouble(self, trouble).run)
                    if self.progress:
                        self.group.start_soon(self.show, end)
                await self.clock.sleep_until(self.clock.now() + SETTLE)
                self.eyes.end(self.clock.now())
            finally:
                with anyio.CancelScope(shield=True):
                    await self.held.stop()
                self.group.cancel_scope.cancel()

    async def show(self, end):
        while True:
            now = self.clock.now()
            self.progress((now - self.zero) / S, (end - self.zero) / S, len(self.eyes.reqs))
            await self.clock.sleep_until(now + S)

    def strike(self, targets, things):
        """What a trouble's targets name: b2 the second, 20% the first fifth in an order drawn for it."""
        found = []
        for target in targets:
            if isinstance(target, float):
                order = self.chance.of("strike", len(things)).permutation(len(things))
                found += [things[k] for k in order[:max(1, round(target * len(things)))]]
            else:
                found.append(things[int(target[1:]) - 1])
        return found

    async def admin(self, name, method, target):
        """(status, body) of one request at a controller's operators' door, over its socket."""
        return await ask(self.net, self.held.admin(name), method, target)


def judge(stage, mode, seed, wall):
    site, eyes = stage.site, stage.eyes
    standing = {px.name: px.first for px in stage.proxies}
    checker = Checker(site, standing, eyes.events, stage.models)
    rules = checker.judge()
    asked, got, by = 0.0, 0.0, {}
    for _, kind, how, _ in eyes.reqs:
        earned = kind.credit * {"done": 1.0, "late": site.late_credit[kind], "lost": 0.0}[how]
        asked, got = asked + kind.credit, got + earned
        mine = by.setdefault(kind.door, [0.0, 0.0])
        mine[0], mine[1] = mine[0] + kind.credit, mine[1] + earned
    return Result(stage.day.name, mode, seed, rules, got / asked if asked else 0.0,
                  {name: g / a for name, (a, g) in sorted(by.items())}, len(eyes.reqs), checker.spread, wall,
                  eyes.events)


def quiet():
    """A logger for controllers inside a rehearsal: nothing below errors."""
    return structlog.wrap_logger(structlog.PrintLogger(), wrapper_class=structlog.make_filtering_bound_logger(
        logging.ERROR))


def play(day, mode="virtual", seed=1, progress=None, core=None, trust=None, on_stage=None):
    """Plays a Day and gives its Result. `core`, `trust`: other classes in place of core.Instance and
    trust.Trust (virtual only). `on_stage(stage)` before it begins."""
    began = time.monotonic()
    if mode == "virtual":
        async def main():
            net = MemoryNet()
            clock = VirtualClock()
            stage = Stage(day, seed, net, clock, controllers.InMemory(net, clock, seed, quiet(), core, trust), progress)
            if on_stage:
                on_stage(stage)
            await stage.play()
            return stage
        stage = run_virtual(main)
    else:
        async def main():
            with tempfile.TemporaryDirectory() as folder:
                stage = Stage(day, seed, TcpNet(), LoopClock(), controllers.Processes(seed, Path(folder)), progress)
                await stage.play()
            return stage
        stage = anyio.run(main)
    return judge(stage, mode, seed, time.monotonic() - began)


def other(day, **changes):
    return replace(day, **changes)
