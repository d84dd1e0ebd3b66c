"""A fleet of bare proxy streams on loopback that loads one controller.

The streams join, acknowledge nonces and send load reports, without clients behind them.
"""

import json
import os
import subprocess
import sys
import tempfile
import time
from contextlib import asynccontextmanager
from pathlib import Path

import anyio

from embertray.common.net.clock import LoopClock
from embertray.common.net.process import resident_memory
from embertray.common.net.tcp import TcpNet
from embertray.controller.stream.messages import (
    Acknowledgement,
    ArrivalTotals,
    BackendTotals,
    LoadReport,
    Orders,
)
from embertray.controller.stream.session import ProxySession
from embertray.service.site.sample_site import write_sample_site
from embertray.simulation.standins.inventory import StandinInventory
from embertray.simulation.standins.link import STREAM_ERRORS
from embertray.simulation.standins.scheduler import Scheduler

S = 10**9  # ns


class BareProxy:
    """One proxy's stream.

    Calls `on_orders(name, now in ns, orders, bytes)` for each message of orders; `received` and `sent` count
    bytes.
    """

    def __init__(self, name, zone, on_orders):
        self.name, self.on_orders, self.session, self.stream, self.bound = (
            name,
            on_orders,
            ProxySession(name, zone, 10.0, True),
            None,
            anyio.Event(),
        )
        self.received = self.sent = 0
        self.writing = anyio.Lock()  # acknowledgements and load reports are sent by different tasks
        self.address = None

    async def run(self, address):
        """Dials the controller and acknowledges its orders until the stream ends."""
        self.address = address
        self.stream = await TcpNet().dial(address)
        try:
            async with self.stream:
                await self.send(self.session.start())
                while True:
                    data = await self.stream.receive()
                    self.received += len(data)
                    now = time.monotonic_ns()
                    for message in self.session.receive(data):
                        if isinstance(message, Orders):
                            self.bound.set()
                            self.on_orders(self.name, now, message, len(data))
                            if message.nonce:
                                await self.send(self.session.pack(Acknowledgement(message.nonce)))
        except STREAM_ERRORS:
            pass

    async def send(self, data):
        """Sends bytes, one message at a time."""
        self.sent += len(data)
        async with self.writing:
            await self.stream.send(data)

    async def send_load_report(self, backends, kinds):
        """Sends a load report of 1 s with fixed totals for each backend and request kind."""
        totals = [BackendTotals(backend, 3, 0, 150_000_000, {"busy": 0.4}) for backend in backends]
        await self.send(
            self.session.pack(LoadReport(S, totals, [ArrivalTotals(kind, 5, 0) for kind in kinds]))
        )


@asynccontextmanager
async def run_controller(backends, count, on_orders, **site_settings):
    """Runs a controller in a process of its own under `count` proxy streams.

    Yields (inventory, names of the backends, BareProxy streams that are all bound, process id, result).
    `result` holds memory in KiB and the seconds until all were bound; after the end also processor
    seconds by part and peak memory.
    """
    with tempfile.TemporaryDirectory() as folder:
        async with anyio.create_task_group() as group:
            inventory = StandinInventory(TcpNet(), Scheduler(LoopClock()))
            await group.start(inventory.run, "127.0.0.1:0")
            names = [f"127.{1 + n // 60000}.{n // 250 % 240}.{n % 250 + 1}:9000" for n in range(backends)]
            zones = ("north", "south", "west")
            for n, name in enumerate(names):
                inventory.list(name, zones[n % 3])
            program = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "embertray.experiments.measure.timed",
                    str(
                        write_sample_site(
                            folder, inventory.address, **{"backends": max(500, backends)} | site_settings
                        )
                    ),
                    "c1",
                ],
                stdout=subprocess.PIPE,
                text=True,
                env=os.environ,
            )
            result = {}
            try:
                row = await anyio.to_thread.run_sync(program.stdout.readline)
                address = json.loads(row)["listen"]
                await anyio.sleep(0.5)
                result["idle_kib"] = resident_kib(program.pid)
                fleet = [BareProxy(f"p{n}", zones[n % 3], on_orders) for n in range(count)]
                began = time.monotonic()
                for proxy in fleet:
                    group.start_soon(proxy.run, address)
                for proxy in fleet:
                    await proxy.bound.wait()
                result["bound_s"] = time.monotonic() - began
                await anyio.sleep(2)
                result["joined_kib"] = resident_kib(program.pid)
                yield inventory, names, fleet, program.pid, result
            finally:
                program.terminate()
                rest, _ = program.communicate(timeout=20)
                result.update(json.loads((rest.strip() or "{}").splitlines()[-1]))
                group.cancel_scope.cancel()


def resident_kib(pid):
    """Returns the resident memory of a process in KiB."""
    return resident_memory(pid) // 1024


def cpu_seconds(pid):
    """Returns the processor seconds that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def quantile(values, share):
    """Returns the quantile `share` (0 to 1) of the values."""
    values = sorted(values)
    return values[min(len(values) - 1, int(share * len(values)))]
