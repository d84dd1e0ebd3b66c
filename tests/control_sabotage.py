"""Runs a control plane process with an injected fault, to verify that the checkers detect it.

Usage: `control_sabotage.py FAULT SITE.xml replica|subscriber NAME --scale 0.25`; FAULT is a function below.
"""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from embertray.cluster.replication.replica import Replica  # noqa: E402
from embertray.cluster.replication.subscriber import Subscriber  # noqa: E402
from embertray.simulation.processes.control_process import main  # noqa: E402


def commit_without_majority():
    """A replica that counts its own vote as a majority."""
    Replica.majority = property(lambda replica: 1)


def apply_older_versions():
    """A subscriber that applies every entry that it receives, newer or not."""
    original_on_update = Subscriber._on_update

    def on_update(subscriber, now, message):
        for entry in message.entries:
            subscriber.store.discard(entry.key)
            subscriber._apply(entry)
        original_on_update(subscriber, now, message)

    Subscriber._on_update = on_update


def report_zero_age():
    """A subscriber that always reports an age of zero."""
    Subscriber.age = lambda subscriber, now: 0


if __name__ == "__main__":
    globals()[sys.argv.pop(1)]()
    main()
