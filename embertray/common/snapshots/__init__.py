"""What must outlive a process: whole, checked snapshots in a folder that one controller owns."""

from .snapshot import Kept, KeptEntry, Snapshot
from .store import Disk, Locked, Store

__all__ = ["Disk", "Kept", "KeptEntry", "Locked", "Snapshot", "Store"]
