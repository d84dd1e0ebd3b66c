"""Runs the production daemon under hours of churn and checks that its memory use stays flat.

Proxies and backends leave for good and are replaced under new names. Each simulated minute the memory
accounts are read, per purpose. A purpose is flat if its mean over the last quarter is within MAX_CHANGE of
its mean over the first quarter after warm-up (small purposes: within MAX_SMALL_CHANGE_BYTES). A decrease is
reported as such, but is not a leak.
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
from embertray.simulation.models.random_streams import RandomStreams
from embertray.simulation.scenarios.player import error_logger
from embertray.simulation.standins.inventory import StandinInventory
from embertray.simulation.standins.memory_net import MemoryNet
from embertray.simulation.standins.scheduler import Scheduler
from embertray.simulation.standins.virtual_time import VirtualClock, run as run_virtual

from .flow_fleet import FlowFleet

NS_PER_SECOND = 10**9
# The greatest change of a flat purpose, as a part of its first mean; for small purposes, bytes.
MAX_CHANGE, SMALL_PURPOSE_BYTES, MAX_SMALL_CHANGE_BYTES = 0.05, 64 * 1024, 8 * 1024


@dataclass
class ChurnPlan:
    """Size, load and churn of a run.

    Attributes:
        backends: Number of backends.
        proxies: Number of proxies.
        request_rate: Requests a second of all proxies together.
        hours: Duration by the run's own clock.
        proxies_replaced: Proxies a minute that leave for good and are replaced.
        backends_replaced: Backends a minute that are drained and replaced.
        warm_up: Part of the run before the first measured quarter.
        unknown_report_lines: Report lines a minute for backends that were never listed.
        site: Name of the sample site.
        facts: Further settings of the site.
    """

    backends: int = 92
    proxies: int = 157
    request_rate: float = 920.0
    hours: float = 1.0
    proxies_replaced: float = 30.0
    backends_replaced: float = 4.0
    warm_up: float = 0.25
    unknown_report_lines: int = 0
    site: str = "pushed"
    facts: dict = field(default_factory=dict)


class LeakingCore(ControllerCore):
    """A core with a deliberate leak: it keeps the identifiers of proxies and backends that are gone."""

    def forget_unused(self):
        """Keeps all identifiers."""


class ChurnRun:
    """One run of a plan.

    Args:
        plan: The ChurnPlan.
        net: The network on which the daemon listens.
        clock: The run's clock.
        seed: Seed of all random draws.

    Attributes:
        rows: The daemon's memory page at each minute, with the minute's number.
        totals: Count of backends and proxies that ever existed, by label.
    """

    def __init__(self, plan, net, clock, seed):
        self.plan, self.net, self.clock, self.streams = plan, net, clock, RandomStreams(seed)
        self.rng, self.rows, self.fleet, self.site = self.streams.of("churn"), [], None, None

    async def prepare(self, group, start_service):
        """Starts the endpoint list and the daemon.

        Args:
            group: The task group of the run.
            start_service: Starts the daemon for this run; returns the address for proxies.

        Returns:
            The address at which proxies join.
        """
        plan = self.plan
        site = load(SITES / "samples" / f"{plan.site}.xml")
        self.inventory = StandinInventory(self.net, Scheduler(self.clock))
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
        return await start_service(self)

    async def play(self, group, address, read_memory):
        """Starts the fleet, and replaces proxies and backends second by second until the plan's end.

        Args:
            group: The task group of proxies and replacements.
            address: The address at which proxies join.
            read_memory: Returns the daemon's memory page.
        """
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
        capacity = plan.request_rate / plan.backends / 0.6  # the fleet is 60 percent full
        for n in range(plan.backends):
            fleet.add_backend(site.zones[n % len(site.zones)], capacity * (0.7 + 0.6 * rng.random()))
        rate = plan.request_rate / plan.proxies
        for n in range(plan.proxies):
            fleet.add_proxy(site.zones[n % len(site.zones)], rate)
        duration_s, minute = int(plan.hours * 3600), 0
        started_at = self.clock.now()
        for second in range(duration_s):
            await self.clock.sleep_until(started_at + second * NS_PER_SECOND)
            await fleet.tick()
            replacements = [
                # Spread evenly: a random count of live proxies and backends would hide a leak.
                int((second + 1) * per_minute / 60) - int(second * per_minute / 60)
                for per_minute in (plan.proxies_replaced, plan.backends_replaced)
            ]
            for _ in range(replacements[0]):
                proxy = fleet.proxies.pop(list(fleet.proxies)[int(rng.integers(len(fleet.proxies)))])
                proxy.leave()
                fleet.add_proxy(proxy.zone, rate)
            for _ in range(replacements[1]):
                group.start_soon(self.replace, capacity)
            if second // 60 > minute:
                minute = second // 60
                self.rows.append({"minute": minute, **await read_memory()})

    async def replace(self, capacity):
        """Drains and removes one backend, and adds a cold one under a new name.

        Args:
            capacity: Mean capacity of a backend, requests a second.
        """
        fleet, site = self.fleet, self.site
        ready = [n for n, e in self.inventory.entries.items() if e.state == "ready"]
        if len(ready) < 3:
            return
        backend = fleet.backends[ready[int(self.rng.integers(len(ready)))]]
        self.inventory.list(backend.name, backend.zone, "draining", backend.started)
        await self.clock.sleep_until(self.clock.now() + 4 * NS_PER_SECOND)
        self.inventory.list(backend.name, backend.zone, "gone", backend.started)
        fleet.backends.pop(backend.name, None)
        fleet.add_backend(
            backend.zone,
            capacity * (0.7 + 0.6 * self.rng.random()),
            self.clock.now(),
            site.cold_speed,
            site.warm_up_time,
        )


def play_virtual(plan, seed=1, core=None):
    """Runs a plan in virtual time, with the daemon in this process.

    Args:
        plan: The ChurnPlan.
        seed: Seed of all random draws.
        core: Type of the controller's core; None: the production one.

    Returns:
        The finished ChurnRun.
    """

    async def main():
        net, clock = MemoryNet(), VirtualClock()
        churn = ChurnRun(plan, net, clock, seed)
        async with anyio.create_task_group() as group:

            async def start_service(churn):
                service = Service(
                    churn.site,
                    churn.site.controllers[0],
                    clock,
                    net,
                    InMemorySnapshots(clock),
                    seed,
                    churn.streams.of("cuts").random,
                    error_logger(),
                    core or ControllerCore,
                )
                churn.service = service
                listen, _ = await group.start(service.run)
                return listen

            address = await churn.prepare(group, start_service)

            async def read_memory():
                gc.collect()
                return churn.service.memory()

            await churn.play(group, address, read_memory)
            churn.totals = {
                "backends ever": churn.fleet.backends_added,
                "proxies ever": churn.fleet.proxies_added,
            }
            group.cancel_scope.cancel()
        return churn

    return run_virtual(main)


def play_on_sockets(plan, seed=1):
    """Runs a plan in real time over loopback sockets, with the daemon as a separate process.

    Args:
        plan: The ChurnPlan.
        seed: Seed of all random draws.

    Returns:
        The finished ChurnRun.
    """
    from embertray.service.site.sample_site import write_sample_site

    async def main():
        churn = ChurnRun(plan, TcpNet(), LoopClock(), seed)
        with tempfile.TemporaryDirectory() as folder:
            async with anyio.create_task_group() as group:

                async def start_service(churn):
                    path = write_sample_site(
                        folder,
                        churn.site.inventory,
                        rate=20000,
                        waiting=20000,
                        reports=1000,
                        proxies=plan.proxies,
                        backends=plan.backends,
                    )
                    churn.process = subprocess.Popen(
                        [sys.executable, "-m", "embertray", "--log-format", "json", "serve", str(path)],
                        stderr=subprocess.PIPE,
                        text=True,
                    )
                    while True:
                        row = json.loads(await anyio.to_thread.run_sync(churn.process.stderr.readline))
                        if row["event"] == "listening":
                            churn.admin = row["admin"]
                            group.start_soon(anyio.to_thread.run_sync, churn.process.stderr.read)
                            return row["listen"]

                address = await churn.prepare(group, start_service)

                async def read_memory():
                    return json.loads((await send_request(churn.net, churn.admin, "GET", "/memory"))[1])

                try:
                    await churn.play(group, address, read_memory)
                finally:
                    churn.process.terminate()
                    churn.process.wait()
                churn.totals = {
                    "backends ever": churn.fleet.backends_added,
                    "proxies ever": churn.fleet.proxies_added,
                }
                group.cancel_scope.cancel()
        return churn

    return anyio.run(main)


def memory_changes(rows, warm_up):
    """Compares each purpose's memory at the start and at the end of a run.

    Args:
        rows: The rows of a ChurnRun.
        warm_up: Part of the rows that is skipped.

    Returns:
        purpose -> (mean bytes of the first quarter, of the last quarter, "flat", "fell" or "GREW"); the
        process's resident memory is the purpose "resident".
    """
    rows = rows[int(len(rows) * warm_up) :]
    quarter = max(1, len(rows) // 4)

    def means(values):
        return sum(values[:quarter]) / quarter, sum(values[-quarter:]) / quarter

    changes = {}
    names = [account["purpose"] for account in rows[0]["purposes"]]
    for n, name in enumerate(names):
        first, last = means([row["purposes"][n]["usual"] for row in rows])
        changes[name] = first, last, classify_change(first, last)
    first, last = means([row["resident"] for row in rows])
    changes["resident"] = first, last, classify_change(first, last)
    return changes


def classify_change(first, last):
    """Judges the change between two means.

    Args:
        first: Bytes.
        last: Bytes.

    Returns:
        "flat", "fell" or "GREW".
    """
    allowed = max(MAX_CHANGE * first, MAX_SMALL_CHANGE_BYTES if first < SMALL_PURPOSE_BYTES else 0)
    return "flat" if abs(last - first) <= allowed else "fell" if last < first else "GREW"


def print_report(churn, file=sys.stdout):
    """Prints the comparison as a Markdown table.

    Args:
        churn: The finished ChurnRun.
        file: Where it is printed.

    Returns:
        Whether no purpose grew.
    """
    changes = memory_changes(churn.rows, churn.plan.warm_up)
    print(
        "| purpose | KiB, first quarter | KiB, last quarter | change | verdict |\n" + "| --- " * 5 + "|",
        file=file,
    )
    for name, (first, last, verdict) in changes.items():
        print(
            f"| {name} | {first / 1024:.1f} | {last / 1024:.1f} | {last / first - 1 if first else 0:+.1%} | "
            f"{verdict} |",
            file=file,
        )
    print(
        "\n"
        + ", ".join(f"{name} {n}" for name, n in churn.totals.items())
        + f"; reqs {churn.fleet.requests}, errored {churn.fleet.failures}"
        + f", without a line {churn.fleet.unrouted}",
        file=file,
    )
    return all(verdict != "GREW" for _, _, verdict in changes.values())


def save_rows(churn, path):
    """Writes the rows as JSON lines.

    Args:
        churn: The finished ChurnRun.
        path: The file.
    """
    Path(path).write_text("\n".join(json.dumps(row) for row in churn.rows) + "\n")
