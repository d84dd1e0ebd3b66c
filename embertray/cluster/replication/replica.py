"""One replica: a state machine that takes messages and time, and returns instructions.

The rules are Raft's (Ongaro and Ousterhout 2014) with preliminary votes, a leader that steps down when no
majority answers, and a log whose committed part is folded into the store at once: what a follower lacks of it
travels as the newest entries since its own revision.
"""

from .candidate import CandidateRole
from .entry import Entry
from .exceptions import ConflictError, NoMajorityError, NotLeaderError
from .follower import FollowerRole
from .instructions import ReplicaInstructions
from .leader import LeaderRole
from .messages import Append, Appended, Install, RecoverReply, RecoverRequest, Vote, VoteRequest
from .recovery import RecoveryRole
from .replica_state import Role


class Replica(CandidateRole, LeaderRole, FollowerRole, RecoveryRole):
    """A replica in any of its roles.

    Call `receive` with each message, `advance` when `next_at` is due, and `poll` after either. The state that
    `poll` returns must be on disk before its messages are sent: a vote or an acknowledgement that a crash
    undoes could elect two leaders in a term, or lose a committed write.

    Args:
        cluster: name of the cluster; messages of another one are ignored.
        name: this replica.
        names: all replicas of the cluster, this one included.
        now: ns.
        rng: a random.Random, seeded differently at each start.
        timing: a ReplicaTiming, None for the default.
        saved: the ReplicaState that was saved last; None if there is none: the replica then has to recover.
        saved_is_newest: False if a later state than `saved` was lost, with votes and entries that others
            count on; then only a leader can bring this replica back.
    """

    def __init__(self, cluster, name, names, now, rng, timing=None, saved=None, saved_is_newest=True):
        super().__init__(cluster, name, names, now, rng, timing)
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
        if saved is None or not saved_is_newest:
            self._begin_recovery(now)
        self._reset_election_timer(now)
        if not self.others and self.nonce:
            self._finish_recovery()

    # ---- queries

    def age(self, now):
        """Age of the committed state.

        Args:
            now: ns.

        Returns:
            ns since it was certain that nothing newer than `store.revision` was committed; None if it never
            was.
        """
        self._refresh_leader_freshness(now)
        return self.freshness.age(now)

    def advertised_age(self, now):
        """The age as it is sent to others: AGE_UNKNOWN in place of None."""
        self._refresh_leader_freshness(now)
        return self.freshness.advertised_age(now)

    def _refresh_leader_freshness(self, now):
        """A leader that has committed in its own term holds all that is committed, as long as it leads."""
        if self.role is Role.LEADER and self.store.term == self.term:
            self.freshness.observe_commit(
                self.quorum_confirmed_at, self.store.revision, 0, self.store.revision
            )

    def next_at(self):
        """Time in ns by which `advance` has to be called."""
        if self.role is Role.LEADER:
            return self.heartbeat_at
        if self.recovering:
            return min(self.heartbeat_at, self.election_at)
        return self.election_at

    # ---- events

    def put(self, now, key, value, request, expected=None):
        """Proposes a write.

        Args:
            now: ns.
            key: name of the key.
            value: bytes; None removes the key.
            request: the caller's request id; "" for none.
            expected: the revision that the key must be at, 0 if it must not exist; None for any.

        Returns:
            The revision that the write has once it is committed. A request id that was seen before writes
            nothing and returns its former revision.

        Raises:
            NotLeaderError: another replica, or none, leads.
            NoMajorityError: no majority confirms that this replica leads.
            ConflictError: the key is not at the expected revision.
            OverloadedError: a limit is reached.
        """
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader)
        if not self.has_majority(now):
            raise NoMajorityError("no majority of the replicas answers")
        if request and (known := self._revision_of_request(request)):
            return known
        newest = self._newest_entry(key)
        revision = newest.revision if newest else 0
        if expected is not None and expected != revision:
            raise ConflictError(f"{key} is at revision {revision}, not {expected}")
        self._check_capacity(key, value)
        entry = Entry(key, self.last_revision + 1, self.term, request, value)
        self._propose(now, entry)
        return entry.revision

    def advance(self, now):
        """Does what is due at the time `now`, ns."""
        if self.recovering and now >= self.heartbeat_at:
            self._send_recover_requests(now)
        if self.role is Role.LEADER:
            self._advance_leader(now)
        elif now >= self.election_at and not self.recovering:
            self._start_preliminary_vote(now)
        elif now >= self.election_at:
            self._reset_election_timer(now)

    def receive(self, now, message):
        """Handles a message of another replica, received at `now` (ns). One of a stranger is ignored."""
        if message.cluster != self.cluster or message.sender not in self.others:
            return
        self._handlers[type(message)](now, message)

    def poll(self):
        """Returns the ReplicaInstructions since the last call."""
        instructions = self.instructions
        self.instructions = ReplicaInstructions()
        if self.state_changed:
            instructions.state = self._durable_state()
            self.state_changed = False
        return instructions
