"""State shared by all roles of a replica: term and vote, the log, and pending instructions.

Committed entries are applied to the store immediately; only uncommitted entries are kept as a log.
"""

from .exceptions import OverloadedError
from .freshness import Freshness
from .instructions import Envelope, ReplicaInstructions
from .replica_state import ReplicaState, Role
from .store import VersionedStore, export_versions, restore_store
from .timing import ReplicaTiming

MAX_LIVE_KEYS = 16_384  # four times the routes of the capacity target; more indicates a faulty client
MAX_STATE_BYTES = 8 << 20  # of all versions that are kept; a write that would exceed it is rejected
MAX_PENDING_PROPOSALS = 64  # uncommitted writes; further ones are rejected


class ReplicaCore:
    """State and log of one replica.

    Args:
        cluster: name of the cluster; messages of another cluster are ignored.
        name: name of this replica.
        names: names of all replicas of the cluster, including this one.
        now: current time, ns.
        rng: a random.Random, seeded differently at each start.
        timing: a ReplicaTiming, None for the default.
    """

    def __init__(self, cluster, name, names, now, rng, timing=None):
        self.cluster = cluster
        self.name = name
        self.others = sorted(other for other in names if other != name)
        self.rng = rng
        self.timing = timing or ReplicaTiming()
        # durable state: saved before any message that depends on it is sent
        self.term = 0
        self.voted_for = ""
        self.store = VersionedStore()
        self.uncommitted = []  # consecutive entries after store.revision
        self.state_changed = False  # whether the durable state differs from the one returned last
        # volatile state of all roles
        self.role = Role.FOLLOWER
        self.leader = ""
        self.freshness = Freshness()
        self.heartbeat_at = now  # ns when a leader or a recovering replica next sends to all others
        self.feed = None  # the SubscriberFeed whose confirmations are reported to the leader
        self.instructions = ReplicaInstructions()

    @property
    def majority(self):
        """Number of replicas that form a majority."""
        return (len(self.others) + 1) // 2 + 1

    @property
    def last_position(self):
        """(term, revision) of the newest entry in the log, committed or not."""
        if self.uncommitted:
            newest = self.uncommitted[-1]
            return newest.term, newest.revision
        return self.store.term, self.store.revision

    @property
    def last_revision(self):
        """Revision of the newest entry in the log, committed or not."""
        return self.last_position[1]

    # ---- log

    def _term_at(self, revision):
        """Term of the entry at a revision; None if it is not in the log or already applied to the store."""
        if revision == self.store.revision:
            return self.store.term
        position = revision - self.store.revision - 1
        return self.uncommitted[position].term if 0 <= position < len(self.uncommitted) else None

    def _commit(self, revision):
        """Applies uncommitted entries up to `revision` to the store."""
        while self.uncommitted and self.uncommitted[0].revision <= revision:
            entry = self.uncommitted.pop(0)
            self.store.apply(entry)
            self.store.advance(entry.revision, entry.term)
            self.instructions.committed.append(entry)
            self.state_changed = True
        self.freshness.revision_reached(self.store.revision)

    def _newest_entry(self, key):
        """The newest Entry of a key, committed or not; None if the key does not exist."""
        proposed = (entry for entry in reversed(self.uncommitted) if entry.key == key)
        entry = next(proposed, None) or self.store.get(key)
        return entry if entry is not None and entry.value is not None else None

    def _revision_of_request(self, request):
        """Revision of the write with a request id, committed or not; None if the id is not known."""
        proposed = (entry.revision for entry in self.uncommitted if entry.request == request)
        return next(proposed, None) or self.store.requests.get(request)

    def _check_capacity(self, key, value):
        """Raises OverloadedError for a write that would exceed a limit."""
        if len(self.uncommitted) >= MAX_PENDING_PROPOSALS:
            raise OverloadedError(f"{MAX_PENDING_PROPOSALS} writes wait for a majority")
        if value is not None and self.store.get(key) is None and self.store.live_count >= MAX_LIVE_KEYS:
            raise OverloadedError(f"{MAX_LIVE_KEYS} keys are held")
        if self.store.bytes + len(value or b"") > MAX_STATE_BYTES:
            raise OverloadedError(f"{MAX_STATE_BYTES} bytes are held")

    # ---- durable state and messages

    def _durable_state(self):
        return ReplicaState(
            term=self.term,
            voted_for=self.voted_for,
            revision=self.store.revision,
            committed_term=self.store.term,
            forgotten=self.store.forgotten,
            versions=export_versions(self.store),
            requests=list(self.store.requests.items()),
            uncommitted=list(self.uncommitted),
        )

    def _restore(self, saved):
        """Initializes the durable state from a saved ReplicaState."""
        self.term = saved.term
        self.voted_for = saved.voted_for
        self.uncommitted = list(saved.uncommitted)
        self.store = restore_store(
            saved.revision, saved.committed_term, saved.versions, saved.requests, saved.forgotten
        )

    def _send(self, recipient, message):
        self.instructions.messages.append(Envelope(recipient, message))
