"""A replica's log: what is committed in its store, and the entries after that which are not."""

from .replica_types import Envelope, Overloaded, ReplicaState
from .store import export, restore
from .timing import KEYS_MOST, PROPOSALS_MOST, STATE_BYTES_MOST


class ReplicaCore:
    """Has `store`, `uncommitted`, `freshness`, and the Instructions that gathers what is due."""

    def _term_at(self, revision):
        """Term of the entry at a revision; None if it is not held, or folded into the store."""
        if revision == self.store.revision:
            return self.store.term
        position = revision - self.store.revision - 1
        return self.uncommitted[position].term if 0 <= position < len(self.uncommitted) else None

    def _commit(self, revision):
        while self.uncommitted and self.uncommitted[0].revision <= revision:
            entry = self.uncommitted.pop(0)
            self.store.apply(entry)
            self.store.advance(entry.revision, entry.term)
            self.step.committed.append(entry)
            self.changed = True
        self.freshness.reached(self.store.revision)

    def _current(self, key):
        """The newest Entry of a key, committed or not; None if there is none or it is removed."""
        proposed = (entry for entry in reversed(self.uncommitted) if entry.key == key)
        entry = next(proposed, None) or self.store.get(key)
        return entry if entry is not None and entry.value is not None else None

    def _revision_of(self, request):
        proposed = (entry.revision for entry in self.uncommitted if entry.request == request)
        return next(proposed, None) or self.store.requests.get(request)

    def _check_room(self, key, value):
        if len(self.uncommitted) >= PROPOSALS_MOST:
            raise Overloaded(f"{PROPOSALS_MOST} writes wait for a majority")
        if value is not None and self.store.get(key) is None and self.store.live_count >= KEYS_MOST:
            raise Overloaded(f"{KEYS_MOST} keys are held")
        if self.store.bytes + len(value or b"") > STATE_BYTES_MOST:
            raise Overloaded(f"{STATE_BYTES_MOST} bytes are held")

    # ---- state and messages

    def _state(self):
        store = self.store
        numbers = (self.term, self.voted_for, store.revision, store.term, store.forgotten)
        return ReplicaState(*numbers, export(store), list(store.requests.items()), list(self.uncommitted))

    def _restore(self, saved):
        self.term, self.voted_for, self.uncommitted = saved.term, saved.voted_for, list(saved.uncommitted)
        position = (saved.revision, saved.committed_term)
        self.store = restore(*position, saved.versions, saved.requests, saved.forgotten)

    def _send(self, to, message):
        self.step.messages.append(Envelope(to, message))
