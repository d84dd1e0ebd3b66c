"""Tombstones: records of removed backends, so that an outdated list does not restore them."""

from typing import NamedTuple

TOMBSTONE_PERIOD_NS = 600 * 10**9  # longer than any replica of the inventory lags behind


class Tombstone(NamedTuple):
    """The record of a removed backend.

    Attributes:
        started: When the removed instance had started, ns by the inventory's clock; 0: unknown.
        removed_at: When it was removed, ns by this process's clock.
    """

    started: int
    removed_at: int


class Tombstones:
    """The recent removals.

    Attributes:
        entries: Backend's name -> Tombstone, the oldest first.
    """

    def __init__(self):
        self.entries = {}

    def add(self, backend, started, removed_at):
        """Adds a tombstone; arguments as in Tombstone."""
        self.entries[backend] = Tombstone(started, removed_at)

    def discard(self, backend):
        """Drops the tombstone of a backend that is listed again, if there is one."""
        self.entries.pop(backend, None)

    def covers(self, entry):
        """Returns whether an EndpointEntry is of a removed instance, not of one that started later."""
        tombstone = self.entries.get(entry.backend)
        return tombstone is not None and entry.started <= tombstone.started

    def expire(self, now):
        """Drops the tombstones that are older than TOMBSTONE_PERIOD_NS at `now` (ns)."""
        outdated = [
            backend
            for backend, tombstone in self.entries.items()
            if now - tombstone.removed_at > TOMBSTONE_PERIOD_NS
        ]
        for backend in outdated:
            del self.entries[backend]

    def shed_memory(self):
        """Drops the older half; a list of that age could then restore these backends."""
        for backend in list(self.entries)[: (len(self.entries) + 1) // 2]:
            del self.entries[backend]
        self.entries = dict(self.entries)  # a dict keeps its largest size until it is copied
