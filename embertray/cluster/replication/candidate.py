"""Elections: preliminary votes, votes, and becoming the leader."""

from .entry import Entry
from .messages import Vote, VoteRequest
from .replica_core import ReplicaCore
from .replica_types import FollowerProgress, Role


class CandidateRole(ReplicaCore):
    """Has `term`, `voted_for`, `role`, `votes`, and the time of the next election."""

    def _await_leader(self, now):
        self.election_at = now + self.pace.election_timeout(self.chance)

    def _start_preliminary_vote(self, now):
        """Asks whether an election could be won, so that a replica that is cut off raises no terms."""
        self._step_down(self.term)
        self.role, self.preliminary, self.votes, self.leader = Role.CANDIDATE, True, {self.name}, ""
        self._await_leader(now)
        self._ask_for_votes(now, self.term + 1)

    def _start_vote(self, now):
        self.term, self.voted_for, self.changed = self.term + 1, self.name, True
        self.preliminary, self.votes = False, {self.name}
        self._await_leader(now)
        self._ask_for_votes(now, self.term)

    def _ask_for_votes(self, now, term):
        for other in self.others:
            self._send(
                other, VoteRequest(self.cluster, self.name, term, *self.last, preliminary=self.preliminary)
            )
        self._count_votes(now)

    def _on_vote_request(self, now, message):
        if self.recovering:
            return
        if self._hears_leader(now):
            granted = False  # against candidates that only they themselves miss the leader
        elif message.preliminary:
            granted = message.term > self.term and self._up_to_date(message)
        else:
            granted = self._grant(now, message)
        self._send(
            message.sender,
            Vote(self.cluster, self.name, self.term, message.term, granted, message.preliminary),
        )

    def _grant(self, now, message):
        if message.term > self.term:
            self._step_down(message.term)
        if message.term < self.term or self.voted_for not in ("", message.sender):
            return False
        if not self._up_to_date(message):
            return False
        self.voted_for, self.changed = message.sender, True
        self._await_leader(now)
        return True

    def _hears_leader(self, now):
        if self.role is Role.LEADER:
            return self.has_majority(now)
        return now - self.leader_heard_at < self.pace.election_least

    def _up_to_date(self, message):
        return (message.last_term, message.last_revision) >= self.last

    def _on_vote(self, now, message):
        if message.term > self.term:
            self._step_down(message.term)
            return
        wanted = self.term + 1 if self.preliminary else self.term
        asked = self.role is Role.CANDIDATE and message.preliminary == self.preliminary
        if asked and message.granted and message.term_asked == wanted:
            self.votes.add(message.sender)
            self._count_votes(now)

    def _count_votes(self, now):
        if len(self.votes) < self.majority:
            return
        if self.preliminary:
            self._start_vote(now)
        else:
            self._become_leader(now)

    def _become_leader(self, now):
        self.role, self.leader = Role.LEADER, self.name
        self.peers = {other: FollowerProgress(self.last[1] + 1) for other in self.others}
        self.round, self.round_began, self.quorum_at = 0, {}, now
        self._propose(now, Entry("", self.last[1] + 1, self.term, "", None))

    def _step_down(self, term):
        if term > self.term:
            self.term, self.voted_for, self.changed = term, "", True
        self.role, self.peers, self.preliminary, self.votes = Role.FOLLOWER, {}, False, set()
