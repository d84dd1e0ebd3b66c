"""Measures the processor time per second of one controller with load reports flowing.

`python -m embertray.experiments.measure.steady [BACKENDSxPROXIES ...]` prints a Markdown table.
"""

import sys

import anyio

from .fleet import cpu_seconds, quantile, resident_kib, run_controller

SECONDS = 15


async def measure(backends, proxies):
    """Measures one size for 15 s after 3 s of warm-up, and prints its row."""
    async with run_controller(backends, proxies, lambda *_: None) as (_, names, fleet, pid, result):
        used = []
        for n in range(SECONDS + 3):
            before = cpu_seconds(pid)
            until = anyio.current_time() + 1
            for k, proxy in enumerate(fleet):
                await proxy.send_load_report(names, ["view", "post"])
                if k % 20 == 19:  # spread over the second, as independent proxies are
                    await anyio.sleep(max(0.0, until - anyio.current_time()) * 20 / (len(fleet) - k + 20))
            await anyio.sleep(max(0.0, until - anyio.current_time()))
            if n >= 3:
                used.append(cpu_seconds(pid) - before)
        memory = resident_kib(pid)
    total = result["cpu"]
    print(
        f"| {backends} x {proxies} | {quantile(used, 0.5) * 1000:.0f} | {max(used) * 1000:.0f} | "
        f"{result['module'] / total:.0%} / {result['codec'] / total:.0%} / "
        f"{1 - (result['module'] + result['codec']) / total:.0%} | {memory / 1024:.0f} |",
        flush=True,
    )


if __name__ == "__main__":
    print(
        "| backends x proxies | CPU ms a second, median | most | module / codec / rest | MiB |\n"
        + "| --- " * 5
        + "|"
    )
    for size in sys.argv[1:] or ["25x40", "90x150", "300x500"]:
        anyio.run(measure, *map(int, size.split("x")), backend_options={"use_uvloop": True})
