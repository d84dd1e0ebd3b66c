"""Elections: the candidate's part, and voting by all replicas.

An election has two rounds. In the preliminary round (Raft's pre-vote) a candidate only asks whether it could
win. Without it, a replica that was cut off would raise the term and depose a working leader on its return.
"""

from .messages import Vote, VoteRequest
from .replica_core import ReplicaCore
from .replica_state import Role


class CandidateRole(ReplicaCore):
    """Starts elections, requests, grants and counts votes."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.preliminary = False  # whether the election is in its preliminary round
        self.votes = set()  # names of the replicas that granted their vote in this round
        self.election_at = 0  # ns when the election timeout ends

    def _reset_election_timer(self, now):
        self.election_at = now + self.timing.election_timeout(self.rng)

    def _start_preliminary_vote(self, now):
        """Starts the preliminary round, which does not change the term."""
        self._step_down(self.term)
        self.role = Role.CANDIDATE
        self.preliminary = True
        self.votes = {self.name}
        self.leader = ""
        self._reset_election_timer(now)
        self._request_votes(now, self.term + 1)

    def _start_vote(self, now):
        """Starts the second round: enters the next term and votes for itself."""
        self.term += 1
        self.voted_for = self.name
        self.state_changed = True
        self.preliminary = False
        self.votes = {self.name}
        self._reset_election_timer(now)
        self._request_votes(now, self.term)

    def _request_votes(self, now, term):
        for other in self.others:
            request = VoteRequest(
                self.cluster, self.name, term, *self.last_position, preliminary=self.preliminary
            )
            self._send(other, request)
        self._count_votes(now)

    def _on_vote(self, now, message):
        if message.term > self.term:
            self._step_down(message.term)
            return
        term_of_round = self.term + 1 if self.preliminary else self.term
        same_round = self.role is Role.CANDIDATE and message.preliminary == self.preliminary
        if same_round and message.granted and message.term_asked == term_of_round:
            self.votes.add(message.sender)
            self._count_votes(now)

    def _count_votes(self, now):
        if len(self.votes) < self.majority:
            return
        if self.preliminary:
            self._start_vote(now)
        else:
            self._become_leader(now)

    # ---- voting

    def _on_vote_request(self, now, message):
        if self.recovering:
            return  # this replica may have voted in this term and lost the record of it with its disk
        if self._leader_is_alive(now):
            granted = False  # only the candidate has lost contact; a new term would interrupt writes
        elif message.preliminary:
            granted = message.term > self.term and self._is_up_to_date(message)
        else:
            granted = self._grant_vote(now, message)
        vote = Vote(self.cluster, self.name, self.term, message.term, granted, message.preliminary)
        self._send(message.sender, vote)

    def _grant_vote(self, now, message):
        """Votes for the sender; returns whether it did.

        The vote is refused if the sender's term is over, if this replica voted for another one in that term,
        or if the sender's log is older than this replica's.
        """
        if message.term > self.term:
            self._step_down(message.term)
        if message.term < self.term or self.voted_for not in ("", message.sender):
            return False
        if not self._is_up_to_date(message):
            return False
        self.voted_for = message.sender
        self.state_changed = True
        self._reset_election_timer(now)
        return True

    def _leader_is_alive(self, now):
        if self.role is Role.LEADER:
            return self.has_majority(now)
        return now - self.leader_last_received_at < self.timing.election_timeout_min

    def _is_up_to_date(self, message):
        """Whether the sender's log is at least as new as this replica's.

        A candidate that a majority votes for by this rule has every committed entry.
        """
        return (message.last_term, message.last_revision) >= self.last_position

    def _step_down(self, term):
        """Becomes a follower; if `term` is newer, enters it without having voted."""
        if term > self.term:
            self.term = term
            self.voted_for = ""
            self.state_changed = True
        self.role = Role.FOLLOWER
        self.followers = {}
        self.preliminary = False
        self.votes = set()
