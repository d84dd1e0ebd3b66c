"""Measures what the emulator costs by the size of the fleet, at both fidelities.

`python -m embertray.experiments.measure.emulated` prints a Markdown table. Each run has a process of its own,
so that its peak memory is its own.
"""

import json
import resource
import subprocess
import sys
import time

from embertray.simulation.emulator.play import play
from embertray.simulation.scenarios import notation

S = 10**9  # ns
SIZES = ((25, 40), (90, 150), (300, 500), (1000, 5000))
REQUESTS_PER_BACKEND = 10  # requests/s for each backend: a third of its capacity


def day_text(backends, proxies, seconds, controllers=1):
    """Returns the script of a day with steady load and one deployment."""
    return (
        f"site pushed proxies={proxies} backends={backends} channel_rate=20000 pending_max=40000 "
        "reports_rate=2000\n"
        f"fleet backends={backends} proxies={proxies} controllers={controllers} speed=0.8..1.3\n"
        f"load {backends * REQUESTS_PER_BACKEND}/s for {seconds}s\nat 3s deploy 10% "
        f"batch={max(1, backends // 40)} "
        "drain=4s by 1s\n"
    )


def measure(backends, proxies, fidelity, seconds):
    """Emulates one fleet, and returns its counts, wall time, virtual time in s and peak memory in MiB."""
    stages = []
    began = time.monotonic()
    result = play(
        notation.read(day_text(backends, proxies, seconds), "size.day"),
        1,
        fidelity,
        on_stage=stages.append,
        watched=False,
    )
    wall = time.monotonic() - began
    engine = stages[0].engine
    steps = sum(controller.frontend.core.steps for controller in stages[0].controllers.running.values())
    return {
        "events": engine.calls_made,
        "wall": wall,
        "virtual": (engine.time - stages[0].load_start) / S,
        "reqs": result.requests,
        "credit": result.credit,
        "steps": steps,
        "MiB": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
    }


def main():
    """Measures every size and fidelity in subprocesses; with arguments, runs one and prints JSON."""
    if len(sys.argv) > 1:
        backends, proxies, fidelity, seconds = sys.argv[1:]
        print(json.dumps(measure(int(backends), int(proxies), fidelity, int(seconds))))
        return
    print("| fleet | fidelity | reqs/s | events a second | virtual seconds a second | peak MiB | credit |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for backends, proxies in SIZES:
        for fidelity in ("reqs", "flows"):
            seconds = 20 if backends < 1000 else 8
            done = subprocess.run(
                [
                    sys.executable,
                    "-m",
                    "embertray.experiments.measure.emulated",
                    str(backends),
                    str(proxies),
                    fidelity,
                    str(seconds),
                ],
                capture_output=True,
                text=True,
            )
            if done.returncode:
                print(f"| {backends}x{proxies} | {fidelity} | died: {done.stderr.strip().splitlines()[-1]} |")
                continue
            figures = json.loads(done.stdout)
            print(
                f"| {backends}x{proxies} | {fidelity} | {backends * REQUESTS_PER_BACKEND} | "
                f"{figures['events'] / figures['wall']:,.0f} | "
                f"{figures['virtual'] / figures['wall']:.2f} | {figures['MiB']:.0f} | "
                f"{figures['credit']:.3f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
