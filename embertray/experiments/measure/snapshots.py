"""Measures the cost of writing and reading a snapshot by the number of backends.

`python -m embertray.experiments.measure.snapshots [FOLDER]` prints a Markdown table.
"""

import sys
import tempfile
import time

import msgspec
import numpy as np

from embertray.common.snapshots import DurableSnapshots, Snapshot, SnapshotEntry

from .fleet import quantile


def main():
    """Writes snapshots with and without fsync, reads them, and prints the table."""
    rng = np.random.default_rng(1)
    print(
        "| backends | bytes | as msgpack | write p50 ms | p99 ms | without fsync p50 ms | read p50 ms |\n"
        + "| --- " * 7
        + "|"
    )
    for count in (92, 1000, 10_000):
        entries = [
            SnapshotEntry(
                f"127.{rng.integers(256)}.{rng.integers(256)}.{rng.integers(1, 255)}"
                f":{rng.integers(1024, 65536)}",
                f"zone-{n % 3}",
                "ready",
                int(rng.integers(2**40)),
                1_764_000_000_000_000_000,
            )
            for n in range(count)
        ]
        snapshot = Snapshot(7, 5, 1_764_000_000_000_000_000, "boot", 1, entries)
        with tempfile.TemporaryDirectory(dir=sys.argv[1] if len(sys.argv) > 1 else None) as folder:
            kept = DurableSnapshots(folder)
            writes, quick, reads = [], [], []
            for times, disk_flush in ((writes, True), (quick, False)):
                if not disk_flush:
                    kept.store.disk.flush = kept.store.disk.flush_folder = lambda _: None
                for _ in range(120):
                    began = time.perf_counter()
                    kept.save(snapshot)
                    times.append(time.perf_counter() - began)
            for _ in range(30):
                began = time.perf_counter()
                kept.load()
                reads.append(time.perf_counter() - began)
            size = kept.store.path_of(kept.store.generations()[-1]).stat().st_size
        print(
            f"| {count} | {size} | {len(msgspec.msgpack.encode(snapshot))} | "
            f"{quantile(writes, 0.5) * 1000:.2f} | "
            f"{quantile(writes, 0.99) * 1000:.2f} | {quantile(quick, 0.5) * 1000:.2f} | "
            f"{quantile(reads, 0.5) * 1000:.2f} |"
        )


if __name__ == "__main__":
    main()
