"""Measures a real controller under bare proxy streams.

The figures are processor time, bytes and memory by its proxies, and how long one more proxy waits for its
first table by the size of the list.
"""

import random
import time
from dataclasses import dataclass
from statistics import mean, median

import anyio
import psutil

from embertray.experiments.measure.fleet import BareProxy, quantile, run_controller

SETTLE, QUIET, REPORTING = 6, 10, 30  # seconds after the joins, without reports, with reports
WINDOW = 10  # consecutive seconds of the worst mean
JOINS, JOIN_INTERVAL_S = 20, 0.25  # proxies that join one after the other; seconds between two of them
JOINED = 67  # proxies that have joined before


@dataclass
class Phase:
    """What one controller used while nothing else changed; bytes per second as its proxies count them."""

    cores: float
    received: list
    sent: list

    def worst(self, values):
        """Returns the greatest mean over WINDOW consecutive seconds."""
        return max(mean(values[at : at + WINDOW]) for at in range(max(1, len(values) - WINDOW + 1)))


class Meter:
    """Reads a controller's processor time and its proxies' bytes."""

    def __init__(self, pid, fleet):
        self.process, self.fleet = psutil.Process(pid), fleet

    def processor(self):
        """Returns the controller's processor seconds so far."""
        times = self.process.cpu_times()
        return times.user + times.system

    def bytes(self):
        """Returns the bytes (into the controller, out of it) so far."""
        return sum(proxy.sent for proxy in self.fleet), sum(proxy.received for proxy in self.fleet)

    async def phase(self, seconds, each_second):
        """Measures `seconds`, in each of which it calls `each_second` with the time that second ends."""
        began, processor, received, sent = time.monotonic(), self.processor(), [], []
        for second in range(seconds):
            before = self.bytes()
            await each_second(began + second + 1)
            await anyio.sleep(max(0.0, began + second + 1 - time.monotonic()))
            after = self.bytes()
            received.append(after[0] - before[0])
            sent.append(after[1] - before[1])
        return Phase((self.processor() - processor) / (time.monotonic() - began), received, sent)


async def send_no_reports(_):
    """Sends no reports."""
    pass


async def measure_load(backends, proxies):
    """Measures one controller without and with reports.

    Returns (quiet phase, reporting phase, bytes of memory added by the proxies, bytes of memory in all).
    """
    rng = random.Random(1)
    async with run_controller(backends, proxies, lambda *_: None, proxies=proxies) as (
        _,
        names,
        fleet,
        pid,
        result,
    ):
        meter = Meter(pid, fleet)

        async def report(until):
            """Sends a report of one request from each proxy, spread over the second."""
            for number, proxy in enumerate(fleet):
                await proxy.send_load_report([rng.choice(names)], ["view"])
                left = until - time.monotonic()
                await anyio.sleep(max(0.0, left / (len(fleet) - number + 1)))

        await meter.phase(SETTLE, report)
        quiet = await meter.phase(QUIET, send_no_reports)
        await meter.phase(2, report)
        reporting = await meter.phase(REPORTING, report)
        memory = meter.process.memory_info().rss
    return quiet, reporting, memory - result["idle_kib"] * 1024, memory


async def measure_joins(backends):
    """Measures proxies that join one after the other.

    Returns (seconds that each waited for its first orders, bytes that each received, processor seconds
    each).
    """
    waits, received = [], []
    async with (
        run_controller(backends, JOINED, lambda *_: None, proxies=JOINED + JOINS) as (_, _, fleet, pid, _),
        anyio.create_task_group() as group,
    ):
        meter = Meter(pid, fleet)
        quiet = await meter.phase(QUIET, send_no_reports)
        before, began = meter.processor(), time.monotonic()
        for number in range(JOINS):
            proxy = BareProxy(f"late{number}", "north", lambda *_: None)
            started = time.monotonic()
            group.start_soon(proxy.run, fleet[0].address)
            await proxy.bound.wait()
            waits.append(time.monotonic() - started)
            await anyio.sleep(JOIN_INTERVAL_S)
            received.append(proxy.received)
        spent = meter.processor() - before - quiet.cores * (time.monotonic() - began)
        group.cancel_scope.cancel()
    return waits, received, spent / JOINS


def run_load(recording, sizes, backends):
    """Measures a controller against proxies, and saves the slopes."""
    rows = [(size, *anyio.run(measure_load, backends, size)) for size in sizes]
    save_load(recording, rows, "proxies", "", f"{backends} backends")


def run_load_by_backends(recording, sizes, proxies):
    """Measures a controller against backends, and saves the slopes."""
    rows = [(size, *anyio.run(measure_load, size, proxies)) for size in sizes]
    save_load(recording, rows, "backends", "-by-backends", f"{proxies} proxies")


def save_load(recording, rows, size_of, suffix, constant):
    """Saves the slopes of both phases."""
    note = (
        f"python -m embertray.experiments.measure.timed, which serves as `embertray serve`; "
        f"{constant}, channel not "
        f"paced; loopback, payload bytes; {QUIET} s quiet, {REPORTING} s with one sum of one request a "
        "proxy a second"
    )
    for name, unit, value_of in (
        ("streams-processor", "cores a controller", lambda quiet, *_: quiet.cores),
        (
            "reports-processor",
            "cores a controller",
            lambda quiet, busy, *_: max(0.0, busy.cores - quiet.cores),
        ),
        ("streams-bytes-in", "bytes/s a controller", lambda _, busy, *__: mean(busy.received)),
        ("streams-bytes-out", "bytes/s a controller", lambda _, busy, *__: mean(busy.sent)),
        (
            "streams-worst-in",
            "bytes/s a controller, worst 10 s",
            lambda _, busy, *__: busy.worst(busy.received),
        ),
        (
            "streams-worst-out",
            "bytes/s a controller, worst 10 s",
            lambda _, busy, *__: busy.worst(busy.sent),
        ),
        ("streams-memory", "bytes a controller", lambda _, __, brought, ___: brought),
        ("controller-memory", "bytes a controller", lambda _, __, ___, whole: whole),
    ):
        points = [(size, value_of(*figures)) for size, *figures in rows]
        recording.save(name + suffix, unit, size_of, points, note)


def run_joins(recording, sizes):
    """Measures joining proxies against the entries of the list, and saves the slopes."""
    rows = [(size, *anyio.run(measure_joins, size)) for size in sizes]
    note = f"{JOINS} proxies join {JOINED}, one by one; channel not paced; loopback; wall time from the dial"
    for name, unit, value_of in (
        ("join-wait", "s a joining proxy, p50", lambda waits, *_: median(waits)),
        ("join-wait-most", f"s a joining proxy, longest of {JOINS}", lambda waits, *_: quantile(waits, 1)),
        ("join-bytes", "bytes a joining proxy", lambda _, received, __: median(received)),
        ("join-processor", "s of processor a joining proxy", lambda _, __, spent: max(0.0, spent)),
    ):
        recording.save(
            name, unit, "entries of the list", [(size, value_of(*figures)) for size, *figures in rows], note
        )
