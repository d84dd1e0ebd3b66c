"""The committed state: the newest entry of each key, some earlier versions, and digests for comparison."""

from bisect import bisect_right, insort
from collections import OrderedDict, deque

import xxhash

from .messages import InventoryItem

MAX_VERSIONS_PER_KEY = 8  # including the newest; the others are kept for rollbacks
MAX_TOMBSTONES = 1_024  # newest removals kept; a subscriber further behind is repaired by digest comparison
MAX_REQUEST_IDS = 4_096  # newest request ids, kept to deduplicate repeated calls
DIGEST_BUCKETS = 64  # partitions of the key space with a digest each; 4,000 keys make 63 per partition

MAX_KEY = "\U0010ffff" * 2  # sorts after every key
COMPACTION_SLACK = 256  # outdated items that a list may hold before it is rebuilt


def digest_bucket_index(key):
    """Index of a key's digest bucket; the same in all processes."""
    return xxhash.xxh64_intdigest(key.encode()) % DIGEST_BUCKETS


class VersionedStore:
    """Entries by key. An entry that is not newer than the current entry of its key is ignored.

    Attributes:
        revision: everything up to it is included.
        term: term of the entry at `revision`.
        forgotten: revision of the newest removal whose tombstone was dropped. A peer that is not past it
            cannot be brought up to date by entries alone.
        bytes: bytes charged for all versions that are kept.
    """

    def __init__(self):
        self.revision = 0
        self.term = 0
        self.forgotten = 0
        self.bytes = 0
        self.entries = {}  # key -> newest Entry, removals included
        self.revision_index = []  # (revision, key), ascending; outdated pairs are skipped when read
        self.versions = {}  # key -> deque of Entry, oldest first, the newest included
        self.history = []  # all versions in order of arrival, including some that are no longer kept
        self.outdated = 0  # number of versions in `history` that are no longer kept
        self.tombstones = deque()  # (key, revision) of the newest removals
        self.requests = OrderedDict()  # request id -> revision
        self.digests = [0] * DIGEST_BUCKETS
        self.bucket_keys = [set() for _ in range(DIGEST_BUCKETS)]  # live keys
        self.live_count = 0
        self.live_bytes = 0

    # ---- reading

    def get(self, key):
        """The current Entry of a key, or None if the key does not exist."""
        entry = self.entries.get(key)
        return entry if entry is not None and entry.value is not None else None

    def live_entries(self):
        """The current entries of all live keys, in ascending revision order."""
        return [entry for entry in self.entries_since(0) if entry.value is not None]

    def entry_at(self, key, revision):
        """The Entry that a key had at exactly this revision, or None if it is not kept."""
        return next((entry for entry in self.versions.get(key, ()) if entry.revision == revision), None)

    def entries_since(self, revision):
        """Yields the newest entry of each key written after `revision`, removals included, in revision order.

        The cost is proportional to the number of entries read, not to the size of the store.
        """
        for position in range(
            bisect_right(self.revision_index, (revision, MAX_KEY)), len(self.revision_index)
        ):
            written, key = self.revision_index[position]
            entry = self.entries.get(key)
            if entry is not None and entry.revision == written:
                yield entry

    @property
    def digest(self):
        """64-bit digest of all live entries."""
        total = 0
        for bucket_digest in self.digests:
            total ^= bucket_digest
        return total

    def inventory(self, bucket):
        """The live keys of a bucket, as InventoryItems sorted by key."""
        entries = (self.entries[key] for key in sorted(self.bucket_keys[bucket]))
        return [InventoryItem(entry.key, entry.revision, entry.fingerprint) for entry in entries]

    # ---- writing

    def apply(self, entry):
        """Applies an entry if it is newer than the current entry of its key.

        Returns:
            Whether it was applied.
        """
        if entry.request:
            self.record_requests([(entry.request, entry.revision)])
        if not entry.key:
            return False  # the empty entry that opens a term
        previous = self.entries.get(entry.key)
        if previous is not None and previous.revision >= entry.revision:
            return False
        self._replace(previous, entry)
        self._add_version(entry)
        return True

    def advance(self, revision, term=0):
        """Records that everything up to `revision` is included."""
        if revision > self.revision:
            self.revision = revision
            self.term = term

    def discard(self, key):
        """Drops all versions of a key, as if it had never been written.

        Used for repairs and to drop tombstones.
        """
        entry = self.entries.pop(key, None)
        if entry is None:
            return
        if entry.value is not None:
            self._remove_live(entry)
        for version in self.versions.pop(key, ()):
            self.bytes -= version.size
            self.outdated += 1

    def record_requests(self, requests):
        """Records (request id, revision) pairs of writes; the oldest beyond MAX_REQUEST_IDS are dropped."""
        for request, revision in requests:
            self.requests[request] = revision
        while len(self.requests) > MAX_REQUEST_IDS:
            self.requests.popitem(last=False)

    # ---- internals

    def _replace(self, previous, entry):
        if previous is not None and previous.value is not None:
            self._remove_live(previous)
        self.entries[entry.key] = entry
        insort(self.revision_index, (entry.revision, entry.key))
        if len(self.revision_index) > 2 * len(self.entries) + COMPACTION_SLACK:
            self.revision_index = sorted((newest.revision, newest.key) for newest in self.entries.values())
        if entry.value is None:
            self._add_tombstone(entry)
        else:
            self._add_live(entry)

    def _add_live(self, entry):
        bucket = digest_bucket_index(entry.key)
        self.digests[bucket] ^= entry.fingerprint
        self.bucket_keys[bucket].add(entry.key)
        self.live_count += 1
        self.live_bytes += entry.size

    def _remove_live(self, entry):
        bucket = digest_bucket_index(entry.key)
        self.digests[bucket] ^= entry.fingerprint
        self.bucket_keys[bucket].discard(entry.key)
        self.live_count -= 1
        self.live_bytes -= entry.size

    def _add_tombstone(self, entry):
        self.tombstones.append((entry.key, entry.revision))
        while len(self.tombstones) > MAX_TOMBSTONES:
            key, revision = self.tombstones.popleft()
            self.forgotten = max(self.forgotten, revision)
            newest = self.entries.get(key)
            if newest is not None and newest.revision == revision:
                self.discard(key)

    def _add_version(self, entry):
        versions = self.versions.setdefault(entry.key, deque())
        versions.append(entry)
        self.history.append(entry)
        self.bytes += entry.size
        if len(versions) > MAX_VERSIONS_PER_KEY:
            self.bytes -= versions.popleft().size
            self._drop_outdated()

    def _drop_outdated(self):
        """Counts one more outdated version; rebuilds `history` without them once there are too many."""
        self.outdated += 1
        if self.outdated > len(self.history) // 2 + COMPACTION_SLACK:
            kept = (entry for versions in self.versions.values() for entry in versions)
            self.history = sorted(kept, key=lambda entry: entry.revision)
            self.outdated = 0


def restore_store(revision, term, versions, requests, forgotten=0):
    """Rebuilds a VersionedStore from saved versions.

    Args:
        revision: revision of the last entry that is included.
        term: term of that entry.
        versions: what `export_versions` returned.
        requests: (request id, revision) pairs.
        forgotten: revision of the newest removal whose tombstone was dropped.

    Returns:
        The VersionedStore.
    """
    store = VersionedStore()
    for entry in sorted(versions, key=lambda entry: entry.revision):
        store.apply(entry)
    store.record_requests(requests)
    store.forgotten = max(store.forgotten, forgotten)
    store.advance(revision, term)
    return store


def export_versions(store):
    """The versions that `restore_store` needs: all that are kept, and some that no longer are."""
    return list(store.history)
