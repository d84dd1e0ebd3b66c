"""Plays a day: fleet, load and faults round true controllers, and judges it by what the sockets carried.

Three ways with the same stand-ins and the same daemon: `virtual` (streams in memory, a clock that jumps; the
same seed is the same run), `sockets` (loopback TCP in real time, each controller a process of its own) and
`processes` (the same, with the rig's links between the processes, to the list and from the proxies, and a
cluster where the day says so).
"""

import logging
import tempfile
import time
from dataclasses import replace
from pathlib import Path

import anyio
import structlog

from embertray.common.net.clock import LoopClock
from embertray.common.net.tcp import TcpNet
from embertray.service.admin.client import ask
from embertray.service.site.site import time as span
from embertray.simulation.models.backend import Backend
from embertray.simulation.standins.backend import StandinBackend
from embertray.simulation.standins.client import StandinClients
from embertray.simulation.standins.inventory import StandinInventory
from embertray.simulation.standins.parts import Agenda
from embertray.simulation.standins.proxy import StandinProxy
from embertray.simulation.standins.virtual import MemoryNet, VirtualClock, run as run_virtual

from . import controllers
from .exceptions import DayError
from .faults import Fault
from .observer import Observer
from .result import judge
from .setup import SETTLE, START_AFTER, ScenarioSetup

S = 10**9


class Stage(ScenarioSetup):
    """All that a day has on it, on sockets or streams in memory. Faults (faults) act on this and on
    nothing else.
    """

    def __init__(self, day, seed, net, clock, held, progress=None):
        super().__init__(day, seed)
        self.net, self.clock, self.held, self.progress = net, clock, held, progress
        self.agenda, self.eyes, self.clients, self.group = Agenda(clock), Observer(), [], None
        self.inventory = StandinInventory(net, self.agenda, span(day.fleet["answers"]), self.eyes.told)
        if span(day.fleet["cross"]):
            raise DayError(f"{day.name}: ways between zones (cross) are emulated only")

    async def build(self):
        await self.group.start(self.inventory.run, "127.0.0.1:0")
        for n, zone, speed in self.machines():
            await self.add(n, zone, speed, cold=False)
        self.site = self.site.at(inventory=self.inventory.address)
        await self.held.start(self)
        await self.clock.sleep_until(self.clock.now() + START_AFTER)
        await self.people()

    async def add(self, number, zone, speed, cold, listed=True):
        """One more backend; its name is the address that it listens on."""
        model = Backend("127.0.0.1:0", zone, self.shape(speed))
        backend = StandinBackend(model, self.net, self.agenda, self.chance.of("failing", number).random)
        await self.group.start(backend.run)
        self.models[model.name] = model
        self.backends.append(backend)
        backend.start(cold)
        if cold:
            self.eyes.note(self.clock.now(), "started", model.name)
        if listed:
            self.inventory.list(model.name, zone, "ready", self.clock.now() if cold else 0)
        return backend

    async def people(self):
        """Proxies and their clients: each has its own share of the requests."""
        day, site, now = self.day, self.site, self.clock.now()
        self.zero = now
        ready, shares, mix = [backend.model for backend in self.backends], self.shares(), self.mix()
        addresses, spread = self.held.addresses(), span(day.fleet["spread"])
        for n in range(self.count):
            rng = self.chance.of("proxy", n)
            zone = site.zones[n % len(site.zones)]
            proxy = StandinProxy(
                f"p{n + 1}",
                zone,
                site,
                addresses,
                self.net,
                self.agenda,
                rng,
                day.rate * shares[n],
                self.standing(rng, zone, ready),
                self.eyes,
                self.way(n),
            )
            proxy.home = n % len(addresses)
            self.proxies.append(proxy)
        for n, proxy in enumerate(self.proxies):
            address = await self.group.start(proxy.run)
            clients = StandinClients(
                n + 1,
                mix,
                self.source(n, day.rate * shares[n]),
                self.net,
                self.agenda,
                self.chance.of("clients", n),
                int(day.load["retries"]),
                ended=self.eyes.ended,
            )
            self.clients.append((clients, address))
            if spread and self.count > 1:
                await self.clock.sleep_until(now + spread * (n + 1) // self.count)

    async def play(self):
        """The day itself, from the first request to some seconds after the last."""
        async with anyio.create_task_group() as self.group:
            try:
                await self.build()
                end = self.zero + self.day.lasts
                async with anyio.create_task_group() as load:
                    for clients, address in self.clients:
                        load.start_soon(clients.run, address, end)
                    for fault in self.day.faults:
                        self.group.start_soon(Fault(self, fault).run)
                    if self.progress:
                        self.group.start_soon(self.show, end)
                await self.clock.sleep_until(self.clock.now() + SETTLE)
                self.eyes.end(self.clock.now())
                await self.held.closing()
            finally:
                with anyio.CancelScope(shield=True):
                    await self.held.stop()
                self.group.cancel_scope.cancel()

    async def show(self, end):
        while True:
            now = self.clock.now()
            self.progress((now - self.zero) / S, (end - self.zero) / S, len(self.eyes.outcomes))
            await self.clock.sleep_until(now + S)

    async def admin(self, name, method, target):
        """(status, body) of one request at a controller's operators' address, over its socket."""
        return await ask(self.net, self.held.admin(name), method, target)


def quiet():
    """A logger for controllers inside a rehearsal: nothing below errors."""
    return structlog.wrap_logger(
        structlog.PrintLogger(), wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )


def play(
    day, mode="virtual", seed=1, progress=None, core=None, trust=None, on_stage=None, alone=False, logs=None
):
    """Plays a Day and gives its Result. `core`, `trust`: other classes in place of core.Instance and
    trust.Trust (virtual only). `on_stage(stage)` before it begins. With processes: `alone`, without the
    cluster that the day asks for; `logs`, a folder where descriptions and logs stay. Raises DayError."""
    began = time.monotonic()
    if mode != "processes" and (found := day.linked):
        raise DayError(
            f"{day.name}: line {found.line}: '{found.name}' strikes links between processes: play "
            "it with --processes"
        )
    if mode == "virtual":

        async def main():
            net = MemoryNet()
            clock = VirtualClock()
            stage = Stage(
                day, seed, net, clock, controllers.InMemory(net, clock, seed, quiet(), core, trust), progress
            )
            if on_stage:
                on_stage(stage)
            await stage.play()
            return stage

        stage = run_virtual(main)
    else:
        from embertray.simulation.processes.controller_processes import (
            ControllerProcesses,
            LinkedControllerProcesses,
        )

        async def main():
            with tempfile.TemporaryDirectory() as folder:
                folder = Path(logs or folder)
                folder.mkdir(parents=True, exist_ok=True)
                held = (
                    ControllerProcesses(seed, folder)
                    if mode == "sockets"
                    else LinkedControllerProcesses(seed, folder, day.fleet["cluster"] == "yes" and not alone)
                )
                stage = Stage(day, seed, TcpNet(), LoopClock(), held, progress)
                if on_stage:
                    on_stage(stage)
                await stage.play()
            return stage

        stage = anyio.run(main)
    return judge(stage, mode, seed, time.monotonic() - began)


def other(day, **changes):
    return replace(day, **changes)
