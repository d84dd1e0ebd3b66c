"""Recovery of a replica that starts without its state.

Raft assumes that votes and entries survive a restart. A replica that lost its disk could vote twice in a
term, or complete a majority without a write that it had confirmed, and a committed write would be lost.
Therefore it neither votes nor counts towards a majority until either all others report that they are blank
(the first start of the cluster), or a leader readmits it (`leader`).
"""

from .messages import RecoverReply, RecoverRequest
from .replica_core import ReplicaCore

NONCE_LIMIT = 2**62  # nonces are random numbers below it; large, as a replica must never draw one twice


class RecoveryRole(ReplicaCore):
    """Recovery state: a nonce that the leader has to return, and the replicas that reported to be blank."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.nonce = 0  # 0 unless this replica is recovering
        self.prior_votes_expire_at = 0  # ns until which votes of the previous process may elect a leader
        self.blank_replies = set()  # names of the replicas that reported to be blank

    @property
    def recovering(self):
        """Whether this replica must not vote yet."""
        return self.nonce != 0

    def _begin_recovery(self, now):
        self.nonce = self.rng.randrange(1, NONCE_LIMIT)
        self.prior_votes_expire_at = now + self.timing.recovery_wait

    def _send_recover_requests(self, now):
        self.heartbeat_at = now + self.timing.heartbeat_interval
        if self.prior_votes_expire_at and now >= self.prior_votes_expire_at:
            # A leader may have answered the first nonce while votes of the previous process were still valid.
            # Only the answer to a nonce drawn afterwards proves a majority that did not rely on such a vote.
            self.nonce = self.rng.randrange(1, NONCE_LIMIT)
            self.prior_votes_expire_at = 0
            self.blank_replies = set()
        for other in self.others:
            self._send(other, RecoverRequest(self.cluster, self.name, self.term, self.nonce))

    def _on_recover_request(self, now, message):
        blank = self.term == 0 and self.last_revision == 0
        self._send(message.sender, RecoverReply(self.cluster, self.name, self.term, message.nonce, blank))

    def _on_recover_reply(self, now, message):
        has_state = self.term > 0 or self.last_revision > 0
        if message.nonce != self.nonce or not message.blank or has_state:
            return
        self.blank_replies.add(message.sender)
        if len(self.blank_replies) == len(self.others):
            self._finish_recovery()

    def _finish_recovery(self):
        self.nonce = 0
        self.prior_votes_expire_at = 0
        self.state_changed = True
