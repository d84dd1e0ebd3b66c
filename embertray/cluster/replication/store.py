"""The committed state: the newest entry of each key, some former versions, and digests to compare it by."""

from bisect import bisect_right, insort
from collections import OrderedDict, deque

import xxhash

from .messages import InventoryItem
from .timing import BUCKETS, HISTORY, REMOVALS_KEPT, REQUESTS_KEPT

LAST_KEY = "\U0010ffff" * 2  # sorts after every key
ORDER_SLACK = 256  # outdated pairs that the order may hold before it is built anew


def bucket_of(key):
    """The part of the key space that a key belongs to, the same everywhere."""
    return xxhash.xxh64_intdigest(key.encode()) % BUCKETS


class VersionedStore:
    """Entries by key. `revision` and `term`: of the last write that is included. Entries only move forward:
    one that is not newer than what is held for its key changes nothing."""

    def __init__(self):
        self.revision, self.term = 0, 0
        self.entries = {}  # key -> newest Entry, removals too
        self.order = []  # (revision, key), rising; pairs that a newer entry outdated are skipped
        self.versions = {}  # key -> deque of Entry, oldest first, the newest included
        self.digests = [0] * BUCKETS
        self.bucket_keys = [set() for _ in range(BUCKETS)]  # live keys
        self.live_count, self.live_bytes = 0, 0
        self.removed = deque()  # (key, revision) of removals still held
        self.forgotten = 0  # revision of the newest removal that is no longer held
        self.requests = OrderedDict()  # request id -> revision
        self.bytes = 0  # charged for all versions
        self.kept = []  # all versions in the order they came, some that are no longer held among them
        self.outdated = 0  # of these

    # ---- reading

    def get(self, key):
        """The newest Entry of a key, or None if it was never written or is removed."""
        entry = self.entries.get(key)
        return entry if entry is not None and entry.value is not None else None

    def live(self):
        """All entries that are in force, by rising revision."""
        return [entry for entry in self.since(0) if entry.value is not None]

    def version(self, key, revision):
        """The Entry that a key had at exactly this revision, or None if it is not kept."""
        return next((entry for entry in self.versions.get(key, ()) if entry.revision == revision), None)

    def since(self, revision):
        """Yields the newest entries written after `revision`, in order. Costs what is read of it."""
        for position in range(bisect_right(self.order, (revision, LAST_KEY)), len(self.order)):
            written, key = self.order[position]
            entry = self.entries.get(key)
            if entry is not None and entry.revision == written:
                yield entry

    @property
    def digest(self):
        """64 bits over all that is in force."""
        total = 0
        for part in self.digests:
            total ^= part
        return total

    def inventory(self, bucket):
        """All live keys of a bucket, sorted by key."""
        entries = (self.entries[key] for key in sorted(self.bucket_keys[bucket]))
        return [InventoryItem(entry.key, entry.revision, entry.fingerprint) for entry in entries]

    # ---- writing

    def apply(self, entry):
        """Takes an entry if it is newer than what is held for its key. True if it was."""
        if entry.request:
            self.remember([(entry.request, entry.revision)])
        if not entry.key:
            return False  # opens a term, changes no key
        held = self.entries.get(entry.key)
        if held is not None and held.revision >= entry.revision:
            return False
        self._replace(held, entry)
        self._keep_version(entry)
        return True

    def advance(self, revision, term=0):
        """Everything up to `revision` is included now."""
        if revision > self.revision:
            self.revision, self.term = revision, term

    def forget(self, key):
        """Drops what is held for a key, as if it had never been written: for repairs."""
        entry = self.entries.pop(key, None)
        if entry is None:
            return
        if entry.value is not None:
            self._uncount(entry)
        for former in self.versions.pop(key, ()):
            self.bytes -= former.size
            self.outdated += 1

    def remember(self, requests):
        """Takes (request id, revision) pairs of writes; the newest ones are kept."""
        for request, revision in requests:
            self.requests[request] = revision
        while len(self.requests) > REQUESTS_KEPT:
            self.requests.popitem(last=False)

    # ---- inside

    def _replace(self, held, entry):
        if held is not None and held.value is not None:
            self._uncount(held)
        self.entries[entry.key] = entry
        insort(self.order, (entry.revision, entry.key))
        if len(self.order) > 2 * len(self.entries) + ORDER_SLACK:
            self.order = sorted((one.revision, one.key) for one in self.entries.values())
        if entry.value is None:
            self._keep_removal(entry)
        else:
            self._count(entry)

    def _count(self, entry):
        bucket = bucket_of(entry.key)
        self.digests[bucket] ^= entry.fingerprint
        self.bucket_keys[bucket].add(entry.key)
        self.live_count += 1
        self.live_bytes += entry.size

    def _uncount(self, entry):
        bucket = bucket_of(entry.key)
        self.digests[bucket] ^= entry.fingerprint
        self.bucket_keys[bucket].discard(entry.key)
        self.live_count -= 1
        self.live_bytes -= entry.size

    def _keep_removal(self, entry):
        self.removed.append((entry.key, entry.revision))
        while len(self.removed) > REMOVALS_KEPT:
            key, revision = self.removed.popleft()
            self.forgotten = max(self.forgotten, revision)
            held = self.entries.get(key)
            if held is not None and held.revision == revision:
                self.forget(key)

    def _drop_outdated(self):
        self.outdated += 1
        if self.outdated > len(self.kept) // 2 + ORDER_SLACK:
            held = (entry for versions in self.versions.values() for entry in versions)
            self.kept, self.outdated = sorted(held, key=lambda entry: entry.revision), 0

    def _keep_version(self, entry):
        versions = self.versions.setdefault(entry.key, deque())
        versions.append(entry)
        self.kept.append(entry)
        self.bytes += entry.size
        if len(versions) > HISTORY:
            self.bytes -= versions.popleft().size
            self._drop_outdated()


def restore(revision, term, versions, requests, forgotten=0):
    """A VersionedStore from what `export` gave."""
    store = VersionedStore()
    for entry in sorted(versions, key=lambda entry: entry.revision):
        store.apply(entry)
    store.remember(requests)
    store.forgotten = max(store.forgotten, forgotten)
    store.advance(revision, term)
    return store


def export(store):
    """All versions that a store holds, and some that it no longer does: what `restore` needs."""
    return list(store.kept)
