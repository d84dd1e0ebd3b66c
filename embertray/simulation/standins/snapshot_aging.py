"""Makes the snapshots that a controller keeps of the endpoint list older than they are."""

from msgspec import structs

from embertray.common.snapshots import DurableSnapshots, Snapshot


def backdated(snapshot, by):
    """Returns a copy of a snapshot as if written `by` ns earlier, before a reboot."""
    return Snapshot(
        snapshot.epoch,
        snapshot.inventory_clock,
        snapshot.wall_clock - by,
        "",
        0,
        [structs.replace(e, confirmed=e.confirmed - by) for e in snapshot.entries],
        snapshot.removed,
    )


def age_in_memory(snapshots, by, from_start):
    """Replaces the newest snapshot by one that is `by` ns older.

    Args:
        snapshots: the InMemorySnapshots.
        by: ns.
        from_start: backdate the first snapshot that was saved, not the newest.
    """
    snapshot = snapshots.first_saved if from_start else snapshots.last_saved
    if snapshot is not None:
        snapshots.last_saved = backdated(snapshot, by)


def age_on_disk(folder, by, from_start):
    """Saves a snapshot in a state folder that is `by` ns older than the newest one there.

    Args:
        folder: the state folder.
        by: ns.
        from_start: backdate the oldest snapshot that is still kept, and delete the newer ones.
    """
    snapshots = DurableSnapshots(folder)
    numbers = snapshots.store.generations()
    for number in numbers[1:] if from_start else ():
        snapshots.store.path_of(number).unlink()
    snapshot, _ = snapshots.load()
    if snapshot is not None:
        snapshots.save(backdated(snapshot, by))
