"""Snapshots of the endpoint list in a state folder on disk."""

from .clocks import read_boot_id, read_clocks
from .snapshot import decode_snapshot, encode_snapshot
from .store import SnapshotStore


class DurableSnapshots:
    """Snapshots in a state folder, which is locked by this process between `open` and `close`.

    Args:
        folder: Path of the folder.
        disk: A Disk; tests pass one that fails.

    Attributes:
        blocking: True: `save` waits for the disk and must be called in a thread.
        store: The SnapshotStore.
    """

    blocking = True

    def __init__(self, folder, disk=None):
        self.store = SnapshotStore(folder, disk)
        self._boot_id = read_boot_id()

    def open(self):
        """Locks the folder for this process.

        Raises:
            FolderLockedError: Another process has locked it.
            OSError: The folder can't be created or written.
        """
        self.store.lock()

    def close(self):
        """Releases the folder."""
        self.store.unlock()

    def clock_reading(self):
        """Returns the current ClockReading."""
        return read_clocks(self._boot_id)

    def save(self, snapshot):
        """Writes a Snapshot; it is durable on return.

        Raises:
            OSError: It could not be saved; the previous snapshots remain.
        """
        self.store.save(encode_snapshot(snapshot))

    def load(self):
        """Returns a LoadResult with the newest readable Snapshot; its content is None if there is none."""
        return self.store.load(decode_snapshot)
