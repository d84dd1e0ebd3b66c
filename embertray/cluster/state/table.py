"""Storage of entries with their indexes and sizes; the merge rules are in `store`."""

from collections import Counter

from .entry import StoredEntry, entry_size


class EntryTable:
    """Entries by EntryId, their size by owner, and the order in which they were set.

    Attributes:
        entries: EntryId -> StoredEntry.
        order_by_owner: owner -> {EntryId: sequence number of the change that set it}, in that order.
        size_bytes: Total size of all entries, bytes.
        bytes_by_owner: owner -> total size of its entries, bytes.
        tombstones: EntryIds of deleted entries.
        changes: Number of calls of `set` so far; it numbers the changes.
    """

    def __init__(self):
        self.entries = {}
        self.order_by_owner = {}
        self.size_bytes = 0
        self.bytes_by_owner = Counter()
        self.tombstones = set()
        self.changes = 0

    def ids_of(self, owner):
        """Return the EntryIds of an owner, in the order in which they were set."""
        return list(self.order_by_owner.get(owner, ()))

    def growth(self, entry_id, value):
        """Return the growth of the table if `value` replaces the stored one, bytes.

        Args:
            entry_id: The EntryId.
            value: The new value, or None for a tombstone.
        """
        old = self.entries.get(entry_id)
        old_size = 0 if old is None else entry_size(*entry_id, old.value)
        return entry_size(*entry_id, value) - old_size

    def set(self, entry, written_at):
        """Store an entry; it replaces a stored one with the same EntryId.

        Args:
            entry: The Entry.
            written_at: When its owner wrote it, ns by this member's clock.
        """
        entry_id = entry.entry_id
        growth = self.growth(entry_id, entry.value)
        self.entries[entry_id] = StoredEntry(entry.incarnation, entry.version, written_at, entry.value)
        order = self.order_by_owner.setdefault(entry.owner, {})
        order.pop(entry_id, None)
        self.changes += 1
        order[entry_id] = self.changes
        if entry.value is None:
            self.tombstones.add(entry_id)
        else:
            self.tombstones.discard(entry_id)
        self.size_bytes += growth
        self.bytes_by_owner[entry.owner] += growth

    def remove(self, entry_id):
        """Remove an entry, if it exists, without leaving a tombstone."""
        old = self.entries.pop(entry_id, None)
        if old is None:
            return
        owner = entry_id.owner
        size = entry_size(*entry_id, old.value)
        self.tombstones.discard(entry_id)
        self.size_bytes -= size
        self.bytes_by_owner[owner] -= size
        del self.order_by_owner[owner][entry_id]
        if not self.order_by_owner[owner]:
            del self.order_by_owner[owner]
            del self.bytes_by_owner[owner]

    def newer_than(self, owner, rank):
        """Yield (sequence number of the change, EntryId) of each entry of an owner beyond a rank.

        Args:
            owner: Name of the owner.
            rank: (incarnation, version) up to which the entries are known already.
        """
        for entry_id, change in self.order_by_owner.get(owner, {}).items():
            stored = self.entries[entry_id]
            if (stored.incarnation, stored.version) > rank:
                yield change, entry_id
