"""Measures what the memory accounts cost, and how accurate they are.

`python -m embertray.experiments.measure.accounting` compares the processor time of the same churn with and
without the accounts, alternating between the two, and the accounts' sizes with those that tracemalloc
reports.
"""

import gc
import resource
import subprocess
import sys
import time
import tracemalloc

from embertray.common.memory import MemoryAccounts
from embertray.common.net.process import resident_memory
from embertray.controller.core import ControllerCore
from embertray.simulation.emulator import churn


class CoreWithoutAccounts(ControllerCore):
    """A core that does not evaluate its memory accounts."""

    def enforce_memory_caps(self, now, step):
        """Only forgets unused state every 10 s."""
        if now >= self.forget_at:
            self.forget_at = now + 10**10
            self.forget_unused()


def cpu_seconds(variant):
    """Returns the processor seconds of one run in a process of its own."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run([sys.executable, "-m", "embertray.experiments.measure.accounting", variant], check=True)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime


def main():
    """Prints the comparison; with an argument, runs one churn (`with` or `without` accounts)."""
    if len(sys.argv) > 1:
        churn.play_virtual(
            churn.ChurnPlan(hours=0.02), 1, {"with": None, "without": CoreWithoutAccounts}[sys.argv[1]]
        )
        return
    print(
        "CPU of 72 s of churn (92 backends, 157 proxies, 920 reqs/s), virtual, with the whole emulator in it:"
    )
    print("| with accounts s | without s | ratio |\n| --- | --- | --- |")
    ratios = []
    for n in range(6):  # alternates which variant runs first
        figures = {
            variant: cpu_seconds(variant)
            for variant in (("with", "without") if n % 2 else ("without", "with"))
        }
        ratios.append(figures["with"] / figures["without"])
        print(f"| {figures['with']:.2f} | {figures['without']:.2f} | {ratios[-1]:.3f} |", flush=True)
    print(f"median ratio {sorted(ratios)[2] / 2 + sorted(ratios)[3] / 2:.3f}\n")

    spent, original_evaluate = [0.0], MemoryAccounts.evaluate

    def timed(*args):
        began = time.thread_time()
        try:
            return original_evaluate(*args)
        finally:
            spent[0] += time.thread_time() - began

    MemoryAccounts.evaluate = timed
    before = time.process_time()
    churn.play_virtual(churn.ChurnPlan(hours=0.02), 1)
    total = time.process_time() - before
    MemoryAccounts.evaluate = original_evaluate
    print(
        f"within one run: {spent[0]:.3f} s of {total:.2f} s CPU go into the accounts: "
        f"{spent[0] / total:.2%}; "
        f"{spent[0] / 72 * 1000:.2f} ms a second of the fleet's time\n"
    )
    figures = {}

    class TracedCore(ControllerCore):
        def __init__(self, *rest):
            gc.collect()
            figures["start"], figures["rss"] = tracemalloc.get_traced_memory()[0], resident_memory()
            super().__init__(*rest)
            figures["it"] = self

        def enforce_memory_caps(self, now, step):
            super().enforce_memory_caps(now, step)
            if now - self.policy.context.started_at > 60 * 10**9 and "held" not in figures:
                gc.collect()
                figures["held"] = tracemalloc.get_traced_memory()[0] - figures["start"]
                figures["accounted"] = {p: a.bytes for p, a in self.accounts.by_purpose.items()}
                only = tracemalloc.take_snapshot().filter_traces(
                    [
                        tracemalloc.Filter(True, f"*/embertray/{name}")
                        for name in (
                            "policy/*",
                            "controller/core/*",
                            "controller/identifiers.py",
                            "controller/channel/*",
                            "controller/report_intake.py",
                            "controller/pending_reports.py",
                        )
                    ]
                )
                figures["ours"] = sum(stat.size for stat in only.statistics("filename"))

    tracemalloc.start()
    churn.play_virtual(churn.ChurnPlan(hours=0.02), 1, TracedCore)
    accounted_bytes = sum(
        size for purpose, size in figures["accounted"].items() if purpose not in ("streams",)
    )
    print(
        "After 60 s: accounts (without streams) "
        f"{accounted_bytes / 1024:.0f} KiB; tracemalloc, allocated in policy, core, identifiers, channel, "
        f"reports {figures['ours'] / 1024:.0f} KiB; ratio {accounted_bytes / figures['ours']:.2f}"
    )


if __name__ == "__main__":
    main()
