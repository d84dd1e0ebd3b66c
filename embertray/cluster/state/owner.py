"""The entries that this member owns: writing, deleting, and moving them to a later incarnation."""

from .entry import Entry, EntryId
from .exceptions import StoreFullError
from .table import EntryTable


class OwnedEntries(EntryTable):
    """The entries that this member owns.

    Only its owner writes an entry, each time with a higher (incarnation, version). Of two copies the higher
    one prevails, so members agree in whatever order copies arrive, and without synchronised clocks.
    """

    def __init__(self, name, incarnation, cap_bytes):
        """Create an empty table.

        Args:
            name: Name of this member.
            incarnation: Its incarnation.
            cap_bytes: Maximum size of all entries, bytes.
        """
        super().__init__()
        self.name = name
        self.incarnation = incarnation
        self.cap_bytes = cap_bytes
        self.version = 0

    def put(self, now, key, value):
        """Write an entry of this member.

        Args:
            now: The time, ns.
            key: Its key.
            value: Its value, bytes; None writes a tombstone.

        Raises:
            StoreFullError: The entry would exceed the cap; nothing was changed.
        """
        needed_bytes = self.size_bytes + self.growth(EntryId(self.name, key), value)
        if needed_bytes > self.cap_bytes:
            raise StoreFullError(key, needed_bytes, self.cap_bytes)
        self.version += 1
        self.set(Entry(self.name, key, self.incarnation, self.version, 0, value), now)

    def delete(self, now, key):
        """Delete an entry of this member, if it exists: a tombstone replaces it and spreads like a write.

        Args:
            now: The time, ns.
            key: Its key.

        Raises:
            StoreFullError: As for `put`.
        """
        if EntryId(self.name, key) in self.entries:
            self.put(now, key, None)

    def adopt_incarnation(self, incarnation):
        """Rewrite all entries of this member under a later incarnation.

        Peers may hold copies from a former incarnation with higher versions, which would hide the current
        entries. With the later incarnation every entry outranks such a copy.

        Args:
            incarnation: The later incarnation.
        """
        self.incarnation = incarnation
        for entry_id in self.ids_of(self.name):
            self.version += 1
            self.entries[entry_id] = self.entries[entry_id]._replace(
                incarnation=incarnation, version=self.version
            )
