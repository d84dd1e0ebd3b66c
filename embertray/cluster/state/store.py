"""All entries that a member knows: merging those of others, reading, and expiring.

Merging is commutative, associative and idempotent. Of an owner's entries only those of the latest incarnation
are kept, of each key the latest version, and of one version the greatest age: an understated age would break
the readers' staleness bound, an overstated one only makes a reader wait for the owner's next write.
"""

from collections import Counter

from .entry import Entry, KnownValue
from .owner import OwnedEntries

DEFAULT_CAP_BYTES = 1 << 20
DEFAULT_RETENTION_NS = 600 * 10**9
NO_RANK = (-1, -1)  # (incarnation, version) of an unknown owner


class EntryStore(OwnedEntries):
    """The known entries of this member and of all others.

    At the cap this member's own entries are rejected (StoreFullError); a received entry is shed, or evicts
    entries of the owner with the largest total size.

    Attributes:
        shed: owner -> number of its entries that were shed or evicted, because of the cap or of
            `growth_blocked`.
        growth_blocked: Whether received entries that would make the store grow are shed.
        incarnations: owner -> the latest known incarnation.
        complete_up_to: owner -> (incarnation, version) up to which all of its entries are known.
        departed_at: owner -> when it was first seen to be dead or to have left, ns.
    """

    def __init__(self, name, incarnation, cap_bytes=DEFAULT_CAP_BYTES, retention_ns=DEFAULT_RETENTION_NS):
        """Create an empty store.

        Args:
            name: Name of this member.
            incarnation: Its incarnation.
            cap_bytes: Maximum size of all entries, bytes.
            retention_ns: How long tombstones and entries of departed members are kept, ns: long enough that
                no old copy is left that could resurrect them.
        """
        super().__init__(name, incarnation, cap_bytes)
        self.retention_ns = retention_ns
        self.shed = Counter()
        self.growth_blocked = False
        self.incarnations = {}
        self.complete_up_to = {}
        self.departed_at = {}

    # ---- merging

    def merge(self, now, entries):
        """Merge entries that were received.

        Args:
            now: The time, ns.
            entries: Entries of any owners.

        Returns:
            The entries that were newer than the stored ones and were stored.
        """
        return [entry for entry in entries if self.apply(now, entry)]

    def apply(self, now, entry):
        """Merge one entry that was received.

        Args:
            now: The time, ns.
            entry: The Entry.

        Returns:
            Whether it was newer than the stored one and was stored.
        """
        owner = entry.owner
        if owner == self.name:
            return False  # only this process writes its entries; adopt_incarnation outranks older copies
        if entry.incarnation < self.incarnations.get(owner, 0):
            return False  # entries of a former incarnation are obsolete
        self.note_incarnation(owner, entry.incarnation)
        entry_id = entry.entry_id
        written_at = now - entry.age_ns
        stored = self.entries.get(entry_id)
        if stored is not None:
            rank = (entry.incarnation, entry.version)
            stored_rank = (stored.incarnation, stored.version)
            if rank <= stored_rank:
                if rank == stored_rank and written_at < stored.written_at:
                    self.entries[entry_id] = stored._replace(written_at=written_at)
                return False
        if not self.make_room(owner, self.growth(entry_id, entry.value)):
            self.shed[owner] += 1
            return False
        self.set(entry, written_at)
        return True

    def note_incarnation(self, owner, incarnation):
        """Record an owner's incarnation, and remove the entries of former ones if it is a later one.

        Args:
            owner: Name of the owner.
            incarnation: The incarnation.
        """
        if incarnation <= self.incarnations.get(owner, 0):
            return
        self.incarnations[owner] = incarnation
        for entry_id in self.ids_of(owner):
            if self.entries[entry_id].incarnation < incarnation:
                self.remove(entry_id)

    def make_room(self, owner, growth):
        """Evict entries of larger owners until a received entry fits under the cap, if that is possible.

        Args:
            owner: Name of the entry's owner.
            growth: Growth of the store by the entry, bytes.

        Returns:
            Whether the entry may be stored; if not, some entries may have been evicted nevertheless.
        """
        if self.growth_blocked and growth > 0:
            return False
        while self.size_bytes + growth > self.cap_bytes:
            largest = self.largest_owner()
            if largest in (None, owner, self.name):
                return False
            if self.bytes_by_owner[largest] <= self.bytes_by_owner[owner] + growth:
                return False
            self.remove(max(self.order_by_owner[largest]))
            self.shed[largest] += 1
        return True

    def largest_owner(self):
        """Return the owner whose entries have the largest total size, or None if there are no entries."""
        return max(self.bytes_by_owner, key=lambda name: (self.bytes_by_owner[name], name), default=None)

    # ---- reading

    def latest_values(self, now, key):
        """Return each owner's latest known value of a key, regardless of its age.

        Args:
            now: The time, ns.
            key: The key.

        Returns:
            KnownValues, the youngest first.
        """
        found = [
            KnownValue(entry_id.owner, stored.value, now - stored.written_at)
            for entry_id, stored in self.entries.items()
            if entry_id.key == key and stored.value is not None
        ]
        return sorted(found, key=lambda known: (known.age_ns, known.owner))

    def values_within_age(self, now, key, age_ns):
        """Return each owner's latest known value of a key, without values that are too old.

        Args:
            now: The time, ns.
            key: The key.
            age_ns: Maximum age, ns.

        Returns:
            KnownValues, the youngest first.
        """
        return [known for known in self.latest_values(now, key) if known.age_ns <= age_ns]

    # ---- exchanging

    def digest(self):
        """Return owner -> (incarnation, version) up to which all of the owner's entries are known."""
        return {**self.complete_up_to, self.name: (self.incarnation, self.version)}

    def missing_entries(self, now, digest):
        """Return the entries that a peer lacks.

        Args:
            now: The time, ns.
            digest: The peer's digest.

        Returns:
            The entries, and owner -> (incarnation, version) up to which the peer has all of the owner's
            entries once it has merged them.
        """
        ahead = {}
        changes = []
        for owner, rank in self.digest().items():
            peer_rank = tuple(digest.get(owner, NO_RANK))
            if rank > peer_rank:
                ahead[owner] = rank
                changes += self.newer_than(owner, peer_rank)
        changes.sort()  # in the order in which they were set, so that the encoding is deterministic
        return [self.entry(now, entry_id) for _, entry_id in changes], ahead

    def entry(self, now, entry_id):
        """Return a stored entry in the form in which it is sent.

        Args:
            now: The time, ns.
            entry_id: Its EntryId.
        """
        stored = self.entries[entry_id]
        age_ns = max(0, now - stored.written_at)
        return Entry(*entry_id, stored.incarnation, stored.version, age_ns, stored.value)

    def mark_complete(self, digest):
        """Record that all entries up to a peer's digest were merged.

        Args:
            digest: owner -> (incarnation, version).
        """
        for owner, rank in digest.items():
            if owner != self.name and tuple(rank) > self.complete_up_to.get(owner, NO_RANK):
                self.note_incarnation(owner, rank[0])
                self.complete_up_to[owner] = tuple(rank)

    # ---- expiring

    def expire(self, now, departed):
        """Remove tombstones and entries of departed members after the retention time.

        The latest incarnation of a departed member stays known; it takes a few bytes and keeps old copies
        from being accepted.

        Args:
            now: The time, ns.
            departed: Names of the members that are dead or have left.
        """
        self.departed_at = {name: self.departed_at.get(name, now) for name in departed}
        for entry_id in list(self.tombstones):
            if now - self.entries[entry_id].written_at >= self.retention_ns:
                self.remove(entry_id)
        for name, departed_at in self.departed_at.items():
            if now - departed_at >= self.retention_ns:
                for entry_id in self.ids_of(name):
                    self.remove(entry_id)
                self.complete_up_to.pop(name, None)
