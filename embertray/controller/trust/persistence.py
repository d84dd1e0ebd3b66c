"""Converts the state of the trust rules to a Snapshot, and the entries of a Snapshot back."""

from embertray.common.snapshots import Snapshot, SnapshotEntry
from embertray.controller.endpoint_list.messages import EndpointEntry

from .known_backend import KnownBackend
from .snapshot_age import time_since_confirmed
from .tombstones import TOMBSTONE_PERIOD_NS

FRESH_AGE_NS = 30 * 10**9  # twice the snapshot period: few backends are replaced in so short a time
NO_ZONE = "-"  # stored for a removed backend, since the file format requires a zone; it is never read


def load_backend(snapshot, saved, since_snapshot):
    """Returns the KnownBackend of a saved entry.

    A ready backend that has not been confirmed for long is a candidate, since a replacement may run under its
    name.

    Args:
        snapshot: The Snapshot.
        saved: Its SnapshotEntry.
        since_snapshot: Time since the snapshot, ns; None: unknown.

    Returns:
        The KnownBackend.
    """
    age = time_since_confirmed(snapshot, saved, since_snapshot)
    candidate = saved.state == "ready" and (age is None or age > FRESH_AGE_NS)
    entry = EndpointEntry(saved.backend, saved.zone, saved.state, saved.started, saved.nominal)
    return KnownBackend(entry, age, candidate, saved.confirmed)


def load_tombstones(now, snapshot, since_snapshot, tombstones):
    """Loads the tombstones of a snapshot, except expired ones.

    Args:
        now: ns.
        snapshot: The Snapshot.
        since_snapshot: Time since the snapshot, ns; None: unknown, all are loaded.
        tombstones: The Tombstones to add them to.
    """
    for saved in snapshot.removed:
        in_time = (
            since_snapshot is None
            or since_snapshot + max(0, snapshot.wall_clock - saved.confirmed) < TOMBSTONE_PERIOD_NS
        )
        if in_time:
            tombstones.add(saved.backend, saved.started, now)


def make_snapshot(now, epoch, inventory_clock, clocks, backends, tombstones):
    """Returns the Snapshot for a later start.

    An entry that discovery has not confirmed in this run keeps its old time of confirmation, so that its age
    increases over several starts.

    Args:
        now: ns.
        epoch: Version of the list.
        inventory_clock: The inventory's clock now, ns.
        clocks: The current ClockReading.
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
