"""Errors of the shared entries."""


class StoreError(Exception):
    """Base of all errors of the entry store."""


class StoreFullError(StoreError, ValueError):
    """An own entry does not fit under the store's cap; nothing was changed."""

    def __init__(self, key, needed_bytes, cap_bytes):
        """Keep what was refused.

        Args:
            key: Key of the entry.
            needed_bytes: Bytes that the store would hold with it.
            cap_bytes: Bytes that the store may hold.
        """
        super().__init__(f"{key}: {needed_bytes} of {cap_bytes} bytes")
        self.key = key
        self.needed_bytes = needed_bytes
        self.cap_bytes = cap_bytes
