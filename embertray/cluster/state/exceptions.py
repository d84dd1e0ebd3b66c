"""Errors of the entry store."""


class StoreError(Exception):
    """Base of all errors of the entry store."""


class StoreFullError(StoreError, ValueError):
    """An entry of this member would exceed the store's cap; nothing was changed."""

    def __init__(self, key, needed_bytes, cap_bytes):
        """Create the error.

        Args:
            key: Key of the rejected entry.
            needed_bytes: Size that the store would have with the entry, bytes.
            cap_bytes: Maximum size of the store, bytes.
        """
        super().__init__(f"entry {key!r} would grow the store to {needed_bytes} bytes, cap {cap_bytes}")
        self.key = key
        self.needed_bytes = needed_bytes
        self.cap_bytes = cap_bytes
