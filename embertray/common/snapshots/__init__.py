"""Durable snapshots: numbered files with checksums in a state folder that is locked by one process.

`store` manages files and generations of bytes, `snapshot` defines the endpoint list saved in them.
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
