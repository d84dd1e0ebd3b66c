"""Snapshots of the endpoint list in memory, for tests, simulations and sites without a state folder."""

import time

from .clocks import ClockReading
from .store import LoadResult


class InMemorySnapshots:
    """Same interface as DurableSnapshots, but lost when the process ends.

    Args:
        clock: A clock with `wall()` in ns since 1970, as in common/net/clock.py; None for the system clock.

    Attributes:
        blocking: False: `save` returns at once.
        first_saved: The first saved Snapshot, or None.
        last_saved: The newest saved Snapshot, or None.
    """

    blocking = False

    def __init__(self, clock=None):
        self.first_saved = None
        self.last_saved = None
        self._clock = clock

    def open(self):
        """Does nothing: there is no folder to lock."""

    def close(self):
        """Does nothing: there is no folder to release."""

    def clock_reading(self):
        """Returns the current ClockReading, without a boot id."""
        wall = self._clock.wall() if self._clock else time.time_ns()
        return ClockReading(wall, "", 0)

    def save(self, snapshot):
        """Saves a Snapshot in memory."""
        self.last_saved = snapshot
        if self.first_saved is None:
            self.first_saved = snapshot

    def load(self):
        """Returns a LoadResult with the newest Snapshot; its content is None if there is none."""
        return LoadResult(self.last_saved, [])
