"""Hours of churn through the true daemon: proxies and backends leave for good, others come, each under a new
name.

Each minute the accounts are read (usual sizes). At the end each purpose must be flat: its mean over the last
quarter within 5 percent of its mean over the first quarter after warm-up (purposes under 64 KiB: within 8
KiB). One that fell by more is said to have fallen, which is no leak.
"""

import gc
import json
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

import anyio

from embertray.common.net.clock import LoopClock
from embertray.common.net.tcp import TcpNet
from embertray.common.snapshots import InMemorySnapshots
from embertray.controller.core import ControllerCore
from embertray.service.admin.client import send_request
from embertray.service.daemon import Service
from embertray.service.site import load
from embertray.service.site.schema import SITE_FOLDER as SITES
from embertray.simulation.models.chance import Streams
from embertray.simulation.scenarios.player import quiet
from embertray.simulation.standins.inventory import StandinInventory
from embertray.simulation.standins.memory_net import MemoryNet
from embertray.simulation.standins.scheduler import Agenda
from embertray.simulation.standins.virtual_time import VirtualClock, run as run_virtual

from .flow_fleet import FlowFleet

S = 10**9
FLAT, SMALL, SMALL_BY = 0.05, 64 * 1024, 8 * 1024


@dataclass
class Plan:
    """Hours are of the run's own clock. `leaves`: proxies a minute; `replaced`: backends a minute."""

    backends: int = 92
    proxies: int = 157
    reqs: float = 920.0
    hours: float = 1.0
    leaves: float = 30.0
    replaced: float = 4.0
    warm_up: float = 0.25  # of the run
    strangers: int = 0  # report lines a minute that name backends no list ever had
    site: str = "pushed"
    facts: dict = field(default_factory=dict)


class NeverTidies(ControllerCore):
    """A leak on purpose: ids of who is gone for good are kept."""

    def forget_unused(self):
        pass


class Churn:
    """One run. `look()` gives the daemon's memory page."""

    def __init__(self, plan, net, clock, seed):
        self.plan, self.net, self.clock, self.streams = plan, net, clock, Streams(seed)
        self.rng, self.rows, self.fleet, self.site = self.streams.of("churn"), [], None, None

    async def prepare(self, group, where):
        plan = self.plan
        site = load(SITES / "samples" / f"{plan.site}.xml")
        self.inventory = StandinInventory(self.net, Agenda(self.clock))
        address = await group.start(self.inventory.run, "127.0.0.1:0")
        facts = {
            "proxies": plan.proxies,
            "backends": plan.backends,
            "channel_rate": 20000.0,
            "pending_max": 20000.0,
            "reports_rate": 1000.0,
            **plan.facts,
        }
        self.site = site.at(inventory=address, **facts)
        return await where(self)

    async def play(self, group, address, look):
        plan, site, rng = self.plan, self.site, self.rng
        self.fleet = fleet = FlowFleet(
            self.net,
            self.clock,
            address,
            self.streams.of("reqs"),
            self.inventory,
            [k.external_id for k in site.kinds],
        )
        fleet.group = group
        each = plan.reqs / plan.backends / 0.6  # the fleet is 60 percent full
        for n in range(plan.backends):
            fleet.add_backend(site.zones[n % len(site.zones)], each * (0.7 + 0.6 * rng.random()))
        rate = plan.reqs / plan.proxies
        for n in range(plan.proxies):
            fleet.add_proxy(site.zones[n % len(site.zones)], rate)
        end, minute = int(plan.hours * 3600), 0
        began = self.clock.now()
        for second in range(end):
            await self.clock.sleep_until(began + second * S)
            await fleet.tick()
            due = [
                int((second + 1) * each_minute / 60)
                - int(second * each_minute / 60)  # evenly: chance in how many
                for each_minute in (plan.leaves, plan.replaced)
            ]  # are about would hide a leak
            for _ in range(due[0]):
                proxy = fleet.proxies.pop(list(fleet.proxies)[int(rng.integers(len(fleet.proxies)))])
                proxy.leave()
                fleet.add_proxy(proxy.zone, rate)
            for _ in range(due[1]):
                group.start_soon(self.replace, each)
            if second // 60 > minute:
                minute = second // 60
                self.rows.append({"minute": minute, **await look()})

    async def replace(self, each):
        """One backend drains, goes, and another comes under a new name, cold."""
        fleet, site = self.fleet, self.site
        ready = [n for n, e in self.inventory.entries.items() if e.state == "ready"]
        if len(ready) < 3:
            return
        backend = fleet.backends[ready[int(self.rng.integers(len(ready)))]]
        self.inventory.list(backend.name, backend.zone, "draining", backend.started)
        await self.clock.sleep_until(self.clock.now() + 4 * S)
        self.inventory.list(backend.name, backend.zone, "gone", backend.started)
        fleet.backends.pop(backend.name, None)
        fleet.add_backend(
            backend.zone,
            each * (0.7 + 0.6 * self.rng.random()),
            self.clock.now(),
            site.cold_speed,
            site.warm_up_time,
        )


def virtual(plan, seed=1, core=None):
    """Plays a Plan in virtual time; the Churn with its rows."""

    async def main():
        net, clock = MemoryNet(), VirtualClock()
        churn = Churn(plan, net, clock, seed)
        async with anyio.create_task_group() as group:

            async def where(churn):
                service = Service(
                    churn.site,
                    churn.site.controllers[0],
                    clock,
                    net,
                    InMemorySnapshots(clock),
                    seed,
                    churn.streams.of("cuts").random,
                    quiet(),
                    core or ControllerCore,
                )
                churn.service = service
                listen, _ = await group.start(service.run)
                return listen

            address = await churn.prepare(group, where)

            async def look():
                gc.collect()
                return churn.service.memory()

            await churn.play(group, address, look)
            churn.left = {
                "backends ever": churn.fleet.backends_added,
                "proxies ever": churn.fleet.proxies_added,
            }
            group.cancel_scope.cancel()
        return churn

    return run_virtual(main)


def sockets(plan, seed=1):
    """The same over loopback sockets and in real time, the controller a process of its own."""
    from embertray.service.site.sample_site import write_sample_site

    async def main():
        churn = Churn(plan, TcpNet(), LoopClock(), seed)
        with tempfile.TemporaryDirectory() as folder:
            async with anyio.create_task_group() as group:

                async def where(churn):
                    path = write_sample_site(
                        folder,
                        churn.site.inventory,
                        rate=20000,
                        waiting=20000,
                        reports=1000,
                        proxies=plan.proxies,
                        backends=plan.backends,
                    )
                    churn.program = subprocess.Popen(
                        [sys.executable, "-m", "embertray", "--log-format", "json", "serve", str(path)],
                        stderr=subprocess.PIPE,
                        text=True,
                    )
                    while True:
                        row = json.loads(await anyio.to_thread.run_sync(churn.program.stderr.readline))
                        if row["event"] == "listening":
                            churn.admin = row["admin"]
                            group.start_soon(anyio.to_thread.run_sync, churn.program.stderr.read)
                            return row["listen"]

                address = await churn.prepare(group, where)

                async def look():
                    return json.loads((await send_request(churn.net, churn.admin, "GET", "/memory"))[1])

                try:
                    await churn.play(group, address, look)
                finally:
                    churn.program.terminate()
                    churn.program.wait()
                churn.left = {
                    "backends ever": churn.fleet.backends_added,
                    "proxies ever": churn.fleet.proxies_added,
                }
                group.cancel_scope.cancel()
        return churn

    return anyio.run(main)


def drift(rows, warm_up):
    """{purpose: (mean of the first quarter after warm-up, of the last quarter, flat | fell | GREW)}; also
    `resident`.
    """
    rows = rows[int(len(rows) * warm_up) :]
    quarter = max(1, len(rows) // 4)

    def means(values):
        return sum(values[:quarter]) / quarter, sum(values[-quarter:]) / quarter

    found = {}
    names = [account["purpose"] for account in rows[0]["purposes"]]
    for n, name in enumerate(names):
        first, last = means([row["purposes"][n]["usual"] for row in rows])
        found[name] = first, last, within(first, last)
    first, last = means([row["resident"] for row in rows])
    found["resident"] = first, last, within(first, last)
    return found


def within(first, last):
    free = max(FLAT * first, SMALL_BY if first < SMALL else 0)
    return "flat" if abs(last - first) <= free else "fell" if last < first else "GREW"


def report(churn, file=sys.stdout):
    """A table in Markdown; True when nothing grew."""
    found = drift(churn.rows, churn.plan.warm_up)
    print(
        "| purpose | KiB, first quarter | KiB, last quarter | change | verdict |\n" + "| --- " * 5 + "|",
        file=file,
    )
    for name, (first, last, flat) in found.items():
        print(
            f"| {name} | {first / 1024:.1f} | {last / 1024:.1f} | {last / first - 1 if first else 0:+.1%} | "
            f"{flat} |",
            file=file,
        )
    print(
        "\n"
        + ", ".join(f"{name} {n}" for name, n in churn.left.items())
        + f"; reqs {churn.fleet.requests}, errored {churn.fleet.failures}"
        + f", without a line {churn.fleet.unrouted}",
        file=file,
    )
    return all(verdict != "GREW" for _, _, verdict in found.values())


def save(churn, path):
    Path(path).write_text("\n".join(json.dumps(row) for row in churn.rows) + "\n")
