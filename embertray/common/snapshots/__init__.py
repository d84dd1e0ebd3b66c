"""What must outlive a process: whole, checked snapshots in a folder that one controller owns."""

from .snapshot import DurableSnapshots, Snapshot, SnapshotEntry
from .store import Disk, FolderLocked, SnapshotStore

__all__ = ["Disk", "DurableSnapshots", "SnapshotEntry", "FolderLocked", "Snapshot", "SnapshotStore"]
