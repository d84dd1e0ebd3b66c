"""Measures the longest pause of the garbage collector at 1,000 proxies, under three settings.

`python -m embertray.experiments.measure.pauses` prints a Markdown table.
"""

import gc
import time

from embertray.controller.core import ControllerCore
from embertray.simulation.emulator import churn

GC_SETTINGS = {
    "as Python sets it": None,
    "gc.freeze once all have joined": "freeze",
    "thresholds 50,000/20/100": (50_000, 20, 100),
}


def main():
    """Runs the same churn under each setting, and prints the table."""
    print(
        "| way | collections | longest pause ms | of the oldest generation | total ms a virtual minute |\n"
        + "| --- " * 5
        + "|"
    )
    for name, setting in GC_SETTINGS.items():
        pauses, began = [], [0.0]

        def on_collection(phase, info):
            if phase == "start":
                began[0] = time.perf_counter()
            else:
                pauses.append((time.perf_counter() - began[0], info["generation"]))

        class ConfiguredCore(ControllerCore):
            done = False

            def advance(self, now):
                if not ConfiguredCore.done and now - self.policy.context.started_at > 15 * 10**9:
                    ConfiguredCore.done = True
                    gc.collect()
                    if setting == "freeze":
                        gc.freeze()
                    elif setting:
                        gc.set_threshold(*setting)
                    gc.callbacks.append(on_collection)
                return super().advance(now)

        churn.play_virtual(churn.ChurnPlan(proxies=1000, hours=45 / 3600), 1, ConfiguredCore)
        gc.callbacks.remove(on_collection)
        gc.unfreeze()
        gc.set_threshold(700, 10, 10)
        oldest = [p for p, g in pauses if g == 2]
        print(
            f"| {name} | {len(pauses)} | {max(p for p, _ in pauses) * 1000:.1f} | {len(oldest)} | "
            f"{sum(p for p, _ in pauses) * 2000:.0f} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
