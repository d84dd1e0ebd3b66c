"""Turns what the trust rules know into a Snapshot, and the entries of a Snapshot back."""

from embertray.common.snapshots import Snapshot, SnapshotEntry
from embertray.controller.endpoint_list.messages import EndpointEntry

from .known_backend import KnownBackend
from .snapshot_age import time_since_confirmed
from .tombstones import TOMBSTONE_PERIOD_NS

FRESH_AGE_NS = 30 * 10**9  # twice the snapshots' period: in so short a time few backends are replaced
NO_ZONE = "-"  # of a removed backend: an entry on disk needs one, nobody reads it


def load_backend(snapshot, saved, since_snapshot):
    """Makes a KnownBackend of a saved entry.

    A ready backend that was not confirmed for long is a candidate: under its name a replacement may run.

    Args:
        snapshot: The Snapshot.
        saved: Its SnapshotEntry.
        since_snapshot: Time since the snapshot, ns; None: not known.

    Returns:
        The KnownBackend.
    """
    age = time_since_confirmed(snapshot, saved, since_snapshot)
    candidate = saved.state == "ready" and (age is None or age > FRESH_AGE_NS)
    entry = EndpointEntry(saved.backend, saved.zone, saved.state, saved.started, saved.nominal)
    return KnownBackend(entry, age, candidate, saved.confirmed)


def load_tombstones(now, snapshot, since_snapshot, tombstones):
    """Remembers the removals of a snapshot, less those that are too old.

    Args:
        now: ns.
        snapshot: The Snapshot.
        since_snapshot: Time since the snapshot, ns; None: not known, all are remembered.
        tombstones: The Tombstones to add to.
    """
    for saved in snapshot.removed:
        in_time = (
            since_snapshot is None
            or since_snapshot + max(0, snapshot.wall_clock - saved.confirmed) < TOMBSTONE_PERIOD_NS
        )
        if in_time:
            tombstones.add(saved.backend, saved.started, now)


def make_snapshot(now, epoch, inventory_clock, clocks, backends, tombstones):
    """Makes the Snapshot that a later start needs.

    An entry that discovery has not confirmed in this run keeps its old time of confirmation, so that it grows
    older through several starts.

    Args:
        now: ns.
        epoch: Version of the list.
        inventory_clock: The inventory's clock now, ns.
        clocks: The ClockReading of now.
        backends: Name -> KnownBackend.
        tombstones: The Tombstones.

    Returns:
        The Snapshot.
    """
    wall, boot_id, since_boot = clocks
    entries = [_saved_backend(backend, wall) for backend in backends.values()]
    removed = [
        SnapshotEntry(name, NO_ZONE, "gone", tombstone.started, wall - max(0, now - tombstone.removed_at))
        for name, tombstone in tombstones.entries.items()
    ]
    return Snapshot(epoch, inventory_clock, wall, boot_id, since_boot, entries, removed)


def _saved_backend(backend, wall):
    entry = backend.entry
    confirmed = wall if backend.confirmed_at is None else backend.confirmed_at
    return SnapshotEntry(entry.backend, entry.zone, entry.state, entry.started, confirmed, entry.nominal)
