"""Calculates the age of a snapshot and its entries at a start; clocks may have been set in between."""

# A confirmation further in the future than this means that a clock was set back; its age is then unknown.
CLOCK_AHEAD_NS = 5 * 10**9


def time_since(snapshot, clocks):
    """Returns the time since a snapshot was taken.

    Within one boot this is measured by the boot clock, which cannot be set, otherwise by the wall clock. A
    wall clock behind the snapshot's was set back, and the age is then unknown.

    Args:
        snapshot: A Snapshot.
        clocks: The current ClockReading.

    Returns:
        The time in ns, or None if it is unknown.
    """
    wall, boot_id, since_boot = clocks
    if boot_id and boot_id == snapshot.boot_id and since_boot >= snapshot.boot_clock:
        return since_boot - snapshot.boot_clock
    return wall - snapshot.wall_clock if wall >= snapshot.wall_clock else None


def time_since_confirmed(snapshot, entry, since_snapshot):
    """Returns the time since the inventory last confirmed an entry.

    Args:
        snapshot: The Snapshot that holds the entry.
        entry: The SnapshotEntry.
        since_snapshot: The result of `time_since`.

    Returns:
        The time in ns, or None if it is unknown.
    """
    if since_snapshot is None or entry.confirmed > snapshot.wall_clock + CLOCK_AHEAD_NS:
        return None
    return since_snapshot + max(0, snapshot.wall_clock - entry.confirmed)
