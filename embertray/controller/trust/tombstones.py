"""Tombstones: backends that were removed, remembered so that an older list does not bring them back."""

from typing import NamedTuple

# How long a removal is remembered, ns: longer than any replica of the inventory lags behind.
TOMBSTONE_PERIOD_NS = 600 * 10**9


class Tombstone(NamedTuple):
    """A removal.

    Attributes:
        started: When the removed instance had started, ns by the inventory's clock; 0: not known.
        removed_at: When it was removed, ns by our clock.
    """

    started: int
    removed_at: int


class Tombstones:
    """The removals of late: backend name -> Tombstone in `entries`, the oldest first."""

    def __init__(self):
        self.entries = {}

    def add(self, backend, started, removed_at):
        """Remembers a removal; arguments as in Tombstone."""
        self.entries[backend] = Tombstone(started, removed_at)

    def discard(self, backend):
        """Forgets a removal, if there is one: the backend is listed again."""
        self.entries.pop(backend, None)

    def covers(self, entry):
        """Whether an EndpointEntry is of an instance that was removed, not of one that started since."""
        tombstone = self.entries.get(entry.backend)
        return tombstone is not None and entry.started <= tombstone.started

    def expire(self, now):
        """Forgets what no replica can still list at `now` (ns)."""
        outdated = [
            backend
            for backend, tombstone in self.entries.items()
            if now - tombstone.removed_at > TOMBSTONE_PERIOD_NS
        ]
        for backend in outdated:
            del self.entries[backend]

    def shed_memory(self):
        """Forgets the older half: a list as old as that is then believed."""
        for backend in list(self.entries)[: (len(self.entries) + 1) // 2]:
            del self.entries[backend]
        self.entries = dict(self.entries)  # a dict keeps its largest size until it is made anew
