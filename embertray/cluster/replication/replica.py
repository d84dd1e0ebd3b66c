"""The state machine of one replica: it is given messages and the time, and returns instructions.

It implements Raft (Ongaro and Ousterhout 2014) with pre-votes and a leader that steps down when no majority
answers. Committed entries are applied to the store at once and are no longer kept as a log: a follower that
lacks some of them is sent the newest entry of each key since its own revision.
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
    `poll` returns must be on disk before its messages are sent: if a crash undid a vote, two leaders could be
    elected in one term; if it undid an acknowledgement, a committed write could be lost.

    Args:
        cluster: name of the cluster; messages of another cluster are ignored.
        name: name of this replica.
        names: names of all replicas of the cluster, including this one.
        now: current time, ns.
        rng: a random.Random, seeded differently at each start.
        timing: a ReplicaTiming, None for the default.
        saved: the ReplicaState saved last; None if there is none, in which case the replica has to recover.
        saved_is_newest: False if a later state than `saved` was lost, with votes and entries that other
            replicas rely on; the replica then has to be readmitted by a leader.
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
            ns since it was certain that nothing newer than `store.revision` was committed; None if that was
            never certain.
        """
        self._refresh_leader_freshness(now)
        return self.freshness.age(now)

    def advertised_age(self, now):
        """The age as sent in messages, ns: AGE_UNKNOWN in place of None."""
        self._refresh_leader_freshness(now)
        return self.freshness.advertised_age(now)

    def _refresh_leader_freshness(self, now):
        """Updates the freshness of a leader.

        After a commit in its own term it holds everything committed, as long as it leads.
        """
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
            expected: required revision of the key, 0 if it must not exist; None for any.

        Returns:
            The revision that the write has once it is committed. If the request id was seen before, nothing
            is written and the revision of the earlier write is returned.

        Raises:
            NotLeaderError: this replica is not the leader.
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
        """Does what is due at `now` (ns): heartbeats, elections, recovery requests."""
        if self.recovering and now >= self.heartbeat_at:
            self._send_recover_requests(now)
        if self.role is Role.LEADER:
            self._advance_leader(now)
        elif now >= self.election_at and not self.recovering:
            self._start_preliminary_vote(now)
        elif now >= self.election_at:
            self._reset_election_timer(now)

    def receive(self, now, message):
        """Handles a message received at `now` (ns); one from an unknown sender or cluster is ignored."""
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
