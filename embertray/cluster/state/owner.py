"""What the owner of entries may do: write and delete them, and write them anew under a later incarnation."""

from .entry import Entry, EntryId
from .exceptions import StoreFullError
from .table import EntryTable


class OwnedEntries(EntryTable):
    """The entries that this member owns.

    Rule: an entry is written by its owner alone, each write under a higher (incarnation, version).
    Reason: of two copies the higher one holds, so members agree whatever order copies come in, and without a
    clock in common.
    """

    def __init__(self, name, incarnation, cap_bytes):
        """Begin with no entries.

        Args:
            name: Name of this member.
            incarnation: Its incarnation.
            cap_bytes: Bytes that all entries may be charged.
        """
        super().__init__()
        self.name = name
        self.incarnation = incarnation
        self.cap_bytes = cap_bytes
        self.version = 0

    def put(self, now, key, value):
        """Write an own entry.

        Args:
            now: The time, ns.
            key: Its key.
            value: Its value, bytes; None writes a tombstone.

        Raises:
            StoreFullError: It does not fit under the cap; nothing was changed.
        """
        needed_bytes = self.size_bytes + self.growth(EntryId(self.name, key), value)
        if needed_bytes > self.cap_bytes:
            raise StoreFullError(key, needed_bytes, self.cap_bytes)
        self.version += 1
        self.set(Entry(self.name, key, self.incarnation, self.version, 0, value), now)

    def delete(self, now, key):
        """Delete an own entry, if it is there: a tombstone takes its place, which spreads as a write does.

        Args:
            now: The time, ns.
            key: Its key.

        Raises:
            StoreFullError: As for `put`.
        """
        if EntryId(self.name, key) in self.entries:
            self.put(now, key, None)

    def adopt_incarnation(self, incarnation):
        """Write all own entries anew under a later incarnation.

        Guards against copies of a former incarnation at peers: they show as our entries never changing
        there. Every entry is past such a copy once it has the later incarnation.

        Args:
            incarnation: The later incarnation.
        """
        self.incarnation = incarnation
        for entry_id in self.ids_of(self.name):
            self.version += 1
            self.entries[entry_id] = self.entries[entry_id]._replace(
                incarnation=incarnation, version=self.version
            )
