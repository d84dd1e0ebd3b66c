"""Errors of the snapshot package."""


class FolderLockedError(RuntimeError):
    """Another process holds the lock of the state folder."""


class CorruptSnapshotError(ValueError):
    """A file is truncated, damaged, of another format or no snapshot at all; the text says which."""


class UnreadableSnapshotError(ValueError):
    """A file is sound, but its content does not decode to the expected type."""
