"""Measures the time from a drain in the inventory to each proxy's socket, over loopback.

`python -m embertray.experiments.measure.news [PROXIES ...]` compares it with a bare asyncio loop that writes
as many bytes to as many sockets in the same run, and prints a Markdown table.
"""

import subprocess
import sys
import time

import anyio

from embertray.common.net.tcp import TcpNet

from .fleet import quantile, run_controller

ROUNDS, BACKENDS = 10, 60

# the baseline: one process that makes a single write to each socket
BASELINE_PROGRAM = """
import asyncio, sys, time
count, size = int(sys.argv[1]), int(sys.argv[2])
async def main():
    writers, there = [], asyncio.Event()
    async def came(reader, writer):
        writers.append(writer)
        if len(writers) == count: there.set()
        await reader.read()
    server = await asyncio.start_server(came, "127.0.0.1", 0, backlog=4096)
    print(server.sockets[0].getsockname()[1], flush=True)
    await there.wait()
    for n in range(10):
        await asyncio.sleep(0.3)
        now = time.monotonic_ns()
        for writer in writers:
            writer.write(now.to_bytes(8, "big") + b"x" * (size - 8))
    await asyncio.sleep(0.5)
asyncio.run(main())
"""


async def measure_baseline(count, size):
    """Returns the delays in ns of the bare loop, which sends `size` bytes to `count` sockets."""
    program = subprocess.Popen(
        [sys.executable, "-c", BASELINE_PROGRAM, str(count), str(size)],
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    port = int(await anyio.to_thread.run_sync(program.stdout.readline))
    delays = []

    async def peer():
        async with await TcpNet().dial(f"127.0.0.1:{port}") as stream:
            try:
                while True:
                    data = await stream.receive()
                    delays.append(time.monotonic_ns() - int.from_bytes(data[:8], "big"))
            except anyio.EndOfStream:
                pass

    async with anyio.create_task_group() as group:
        for _ in range(count):
            group.start_soon(peer)
    program.wait()
    return delays


async def measure(proxies):
    """Drains one backend after the other under so many proxies, and prints a row of the table."""
    delays, sizes, drained_at, drained = [], [], 0, None

    def on_orders(_, now, orders, size):
        if drained and any(getattr(do, "weight", 1) == 0 and do.backend == drained for do in orders.do):
            delays.append(now - drained_at)
            sizes.append(size)

    async with run_controller(BACKENDS, proxies, on_orders) as (inventory, names, _, _, result):
        for n in range(ROUNDS):
            drained, drained_at, expected = names[n], time.monotonic_ns(), len(delays) + proxies
            inventory.list(drained, ("north", "south", "west")[n % 3], "draining")
            with anyio.move_on_after(20):
                while len(delays) < expected:
                    await anyio.sleep(0.05)
            await anyio.sleep(0.6)
    baseline = await measure_baseline(proxies, max(16, quantile(sizes, 0.5)))
    print(
        f"| {proxies} | {len(delays)} of {ROUNDS * proxies} | {quantile_ms(delays, 0.5)} | "
        f"{quantile_ms(delays, 0.99)} | "
        f"{quantile_ms(delays, 1)} | "
        f"{quantile_ms(baseline, 0.5)} | {quantile_ms(baseline, 0.99)} | {quantile_ms(baseline, 1)} | "
        f"{quantile(delays, 1) / quantile(baseline, 1):.1f} | "
        f"{result['bound_s']:.2f} | {(result['joined_kib'] - result['idle_kib']) / proxies:.1f} | "
        f"{result['module']:.2f} / {result['codec']:.2f} / "
        f"{result['cpu'] - result['module'] - result['codec']:.2f} |",
        flush=True,
    )


def quantile_ms(values, share):
    """Formats a quantile of values in ns as milliseconds."""
    return f"{quantile(values, share) / 1e6:.1f}"


if __name__ == "__main__":
    print(
        "| proxies | told | p50 ms | p99 ms | max ms | bare p50 | bare p99 | bare max | max / bare "
        "max | all bound s | "
        "KiB a proxy | CPU s: module / codec / transport |\n" + "| --- " * 12 + "|"
    )
    for size in map(int, sys.argv[1:] or ["150", "1000"]):
        anyio.run(measure, size, backend_options={"use_uvloop": True})
