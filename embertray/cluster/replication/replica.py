"""One replica: elections, replication of writes to a majority, and recovery of one that lost its state.

The rules are Raft's (Ongaro and Ousterhout 2014) with preliminary votes, a leader that steps down when no
majority answers, and a log whose committed part is folded into the store at once: what a follower lacks of it
travels as the newest entries since its own revision. What is handed out by `poll` must be saved before it is
sent.
"""

from .candidate import CandidateRole
from .entry import Entry
from .follower import FollowerRole
from .freshness import Freshness
from .leader import LeaderRole
from .messages import Append, Appended, Install, RecoverReply, RecoverRequest, Vote, VoteRequest
from .recovery import RecoveryRole
from .replica_types import Conflict, Instructions, NoMajority, NotLeader, Role
from .store import VersionedStore
from .timing import ReplicaTiming


class Replica(CandidateRole, LeaderRole, FollowerRole, RecoveryRole):
    """`names`: all replicas, this one too. `saved`: the ReplicaState that was saved last, None if there is
    none: then the replica votes for nobody until the others have shown that this is the first start, or a
    leader has brought it up to date. `newest`: False if a later state than `saved` was lost, with votes and
    entries that others count on; then only a leader can bring it back. `subscribers`, a SubscriberFeed, is asked for
    what followers report. Call `receive` with what came, `advance` when `next_at` is due, `poll` after
    each."""

    def __init__(self, cluster, name, names, now, chance, pace=None, saved=None, newest=True):
        self.cluster, self.name = cluster, name
        self.others = sorted(other for other in names if other != name)
        self.pace, self.chance = pace or ReplicaTiming(), chance
        self.term, self.voted_for, self.store, self.uncommitted = 0, "", VersionedStore(), []
        self.role, self.leader, self.peers = Role.FOLLOWER, "", {}
        self.votes, self.preliminary = set(), False
        self.round, self.round_began, self.quorum_at = 0, {}, now
        self.freshness = Freshness()
        self.leader_heard_at = now - self.pace.election_most
        self.nonce, self.silent_until, self.blank_replies = 0, 0, set()
        self.subscribers, self.reports = (
            None,
            {},
        )  # a SubscriberFeed, once there is one; name -> its last Appended
        self.step, self.changed = Instructions(), False
        self._handlers = {
            VoteRequest: self._on_vote_request,
            Vote: self._on_vote,
            Append: self._on_append,
            Install: self._on_install,
            Appended: self._on_appended,
            RecoverRequest: self._on_recover_request,
            RecoverReply: self._on_recover_reply,
        }
        if saved is not None:
            self._restore(saved)
        if saved is None or not newest:
            self._begin_recovery(now)
        self.heartbeat_at = now
        self._await_leader(now)
        if not self.others and self.nonce:
            self._finish_recovery()

    # ---- what is asked of it

    @property
    def majority(self):
        """Replicas that make a majority."""
        return (len(self.others) + 1) // 2 + 1

    @property
    def recovering(self):
        """Whether this replica must not vote yet."""
        return self.nonce != 0

    @property
    def last(self):
        """(term, revision) of the newest entry held, committed or not."""
        if self.uncommitted:
            return self.uncommitted[-1].term, self.uncommitted[-1].revision
        return self.store.term, self.store.revision

    def has_majority(self, now):
        """Whether this replica leads and a majority has confirmed that lately."""
        return self.role is Role.LEADER and now - self.quorum_at <= self.pace.quorum_within

    def age(self, now):
        """ns since it was certain that nothing newer than `store.revision` was committed; None if it never
        was.
        """
        self._lead_is_fresh(now)
        return self.freshness.age(now)

    def told_age(self, now):
        """The age as it is told to others: AGE_UNKNOWN in place of None."""
        self._lead_is_fresh(now)
        return self.freshness.told_age(now)

    def _lead_is_fresh(self, now):
        """A leader that has committed in its own term holds all that is committed, as long as it leads."""
        if self.role is Role.LEADER and self.store.term == self.term:
            self.freshness.heard(self.quorum_at, self.store.revision, 0, self.store.revision)

    def next_at(self):
        """ns by which `advance` has to be called."""
        if self.role is Role.LEADER:
            return self.heartbeat_at
        if self.recovering:
            return min(self.heartbeat_at, self.election_at)
        return self.election_at

    def poll(self):
        """The Instructions that is due since the last call."""
        step, self.step = self.step, Instructions()
        if self.changed:
            step.state, self.changed = self._state(), False
        return step

    def put(self, now, key, value, request, expected=None):
        """Proposes a write; `value` None removes the key. `expected`: the revision that the key must be at.
        Gives the revision that the write has once it is committed; a request that was seen before gives its
        own. Raises WriteRejected."""
        if self.role is not Role.LEADER:
            raise NotLeader(self.leader)
        if not self.has_majority(now):
            raise NoMajority("no majority of the replicas answers")
        if request and (known := self._revision_of(request)):
            return known
        current = self._current(key)
        if expected is not None and expected != (current.revision if current else 0):
            raise Conflict(f"{key} is at revision {current.revision if current else 0}, not {expected}")
        self._check_room(key, value)
        entry = Entry(key, self.last[1] + 1, self.term, request, value)
        self._propose(now, entry)
        return entry.revision

    # ---- time and messages

    def advance(self, now):
        """Does what is due."""
        if self.recovering and now >= self.heartbeat_at:
            self._ask_whether_blank(now)
        if self.role is Role.LEADER:
            self._lead(now)
        elif now >= self.election_at and not self.recovering:
            self._start_preliminary_vote(now)
        elif now >= self.election_at:
            self._await_leader(now)

    def receive(self, now, message):
        """Takes what another replica says."""
        if message.cluster != self.cluster or message.sender not in self.others:
            return
        self._handlers[type(message)](now, message)
