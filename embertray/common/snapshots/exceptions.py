"""Errors of the snapshots package."""


class FolderLockedError(RuntimeError):
    """The state folder is locked by another process."""


class CorruptSnapshotError(ValueError):
    """A file is truncated, damaged, of another format or not a snapshot; the message says which."""


class UnreadableSnapshotError(ValueError):
    """A file is intact, but its content does not decode to the expected type."""
