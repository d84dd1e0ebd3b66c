"""What a controller kept of the list, made older than it is."""

from msgspec import structs

from embertray.common.snapshots import DurableSnapshots, Snapshot


def backdated(snapshot, by):
    """A snapshot as if it had been written so much (ns) before, in another boot."""
    return Snapshot(
        snapshot.epoch,
        snapshot.inventory_clock,
        snapshot.wall_clock - by,
        "",
        0,
        [structs.replace(e, confirmed=e.confirmed - by) for e in snapshot.entries],
        snapshot.removed,
    )


def age_in_memory(kept, by, from_start):
    """What is kept becomes so much older (ns); or is what was kept first, before all that happened since."""
    snapshot = kept.first_saved if from_start else kept.last_saved
    if snapshot is not None:
        kept.last_saved = backdated(snapshot, by)


def age_on_disk(folder, by, from_start):
    """The same in a state folder; the first is the first that is still there, of the few that are kept."""
    kept = DurableSnapshots(folder)
    numbers = kept.store.generations()
    for number in numbers[1:] if from_start else ():
        kept.store.path_of(number).unlink()
    snapshot, _ = kept.load()
    if snapshot is not None:
        kept.save(backdated(snapshot, by))
