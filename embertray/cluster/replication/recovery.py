"""Recovery of a replica that starts without its state: it votes for nobody until it is safe."""

from .messages import RecoverReply, RecoverRequest
from .replica_core import ReplicaCore

NONCES = 2**62


class RecoveryRole(ReplicaCore):
    """Has `nonce`, not 0 while it recovers, `silent_until` and `blank_replies`."""

    def _begin_recovery(self, now):
        self.nonce = self.chance.randrange(1, NONCES)
        self.silent_until = now + self.pace.recovery_silence

    def _ask_whether_blank(self, now):
        self.heartbeat_at = now + self.pace.heartbeat
        if self.silent_until and now >= self.silent_until:
            # an answer to a former nonce may have been on its way since before the silence
            self.nonce, self.silent_until = self.chance.randrange(1, NONCES), 0
            self.blank_replies = set()
        for other in self.others:
            self._send(other, RecoverRequest(self.cluster, self.name, self.term, self.nonce))

    def _on_recover_request(self, now, message):
        blank = self.term == 0 and self.last[1] == 0
        self._send(message.sender, RecoverReply(self.cluster, self.name, self.term, message.nonce, blank))

    def _on_recover_reply(self, now, message):
        holds_something = self.term > 0 or self.last[1] > 0
        if message.nonce != self.nonce or not message.blank or holds_something:
            return
        self.blank_replies.add(message.sender)
        if len(self.blank_replies) == len(self.others):
            self._finish_recovery()

    def _finish_recovery(self):
        self.nonce, self.silent_until, self.changed = 0, 0, True
