"""How old a snapshot and its entries are at a start, by clocks that may have been set."""

# A confirmation this far in the future means that a clock was set back: its age is not known.
CLOCK_AHEAD_NS = 5 * 10**9


def time_since(snapshot, clocks):
    """The time since a snapshot was taken.

    Within one boot the boot's own clock tells, which nobody can set. Else the wall clock does; if it is
    behind the snapshot's, it was set back, and the age is not known.

    Args:
        snapshot: A Snapshot.
        clocks: The ClockReading of now.

    Returns:
        ns, or None if it is not known.
    """
    wall, boot_id, since_boot = clocks
    if boot_id and boot_id == snapshot.boot_id and since_boot >= snapshot.boot_clock:
        return since_boot - snapshot.boot_clock
    return wall - snapshot.wall_clock if wall >= snapshot.wall_clock else None


def time_since_confirmed(snapshot, entry, since_snapshot):
    """The time since the inventory last confirmed an entry.

    Args:
        snapshot: The Snapshot that it is from.
        entry: The SnapshotEntry.
        since_snapshot: What `time_since` gave.

    Returns:
        ns, or None if it is not known.
    """
    if since_snapshot is None or entry.confirmed > snapshot.wall_clock + CLOCK_AHEAD_NS:
        return None
    return since_snapshot + max(0, snapshot.wall_clock - entry.confirmed)
