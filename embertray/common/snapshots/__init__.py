"""Durable snapshots: checked, numbered files in a state folder that one process owns.

`store` knows files and generations of bytes, `snapshot` the endpoint list that a controller saves in them.
"""

from .clocks import ClockReading
from .disk import Disk
from .durable import DurableSnapshots
from .exceptions import CorruptSnapshotError, FolderLockedError, UnreadableSnapshotError
from .in_memory import InMemorySnapshots
from .snapshot import CONFIRMATION_PERIOD_NS, SNAPSHOT_PERIOD_NS, Snapshot, SnapshotEntry
from .store import LoadResult, SkippedFile, SnapshotStore

__all__ = [
    "CONFIRMATION_PERIOD_NS",
    "SNAPSHOT_PERIOD_NS",
    "ClockReading",
    "CorruptSnapshotError",
    "Disk",
    "DurableSnapshots",
    "FolderLockedError",
    "InMemorySnapshots",
    "LoadResult",
    "SkippedFile",
    "Snapshot",
    "SnapshotEntry",
    "SnapshotStore",
    "UnreadableSnapshotError",
]
