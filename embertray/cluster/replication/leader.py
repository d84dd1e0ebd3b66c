"""What a leader does: rounds to its followers, and commits on a majority."""

from .messages import Append, Install
from .replica_core import ReplicaCore
from .replica_types import Role


class LeaderRole(ReplicaCore):
    """Has `peers` by name, and the rounds that tell when a majority last confirmed it."""

    def _lead(self, now):
        if now - self.quorum_at > self.pace.election_most:
            self._step_down(self.term)
            self.leader = ""
            self._await_leader(now)
        elif now >= self.heartbeat_at:
            self._broadcast(now, again=True)

    def _propose(self, now, entry):
        self.uncommitted.append(entry)
        self.changed = True
        self._commit_on_majority(now)
        self._broadcast(now)

    def _broadcast(self, now, again=False):
        """A new round: everyone is sent what is new, or a heartbeat. `again`: what was not confirmed, too."""
        self.heartbeat_at = now + self.pace.heartbeat
        self.round += 1
        self.round_began[self.round] = now
        if not self.others:
            self.quorum_at = now
        for other in self.others:
            self._send_entries(now, other, again)

    def _send_entries(self, now, other, again):
        peer = self.peers[other]
        previous = peer.next - 1 if again else max(peer.next - 1, peer.sent)
        peer.sent = self.last[1]
        head = (self.cluster, self.name, self.term, self.round)
        if previous < self.store.revision:
            changes = list(self.store.since(previous))
            keys = None
            if previous < self.store.forgotten:
                keys = [entry.key for entry in self.store.live()]
            commit = (self.store.term, self.store.revision)
            requests = [(name, at) for name, at in self.store.requests.items() if at > previous]
            self._send(other, Install(*head, previous, *commit, changes, keys, requests))
            peer.sent = self.store.revision
            return
        entries = self.uncommitted[previous - self.store.revision :]
        admitted = peer.nonce if peer.nonce and self.quorum_at > peer.nonce_at else 0
        peer.admitted = peer.admitted or bool(admitted)
        position = (self._term_at(previous), previous)
        commit = self.store.revision
        self._send(other, Append(*head, *position, entries, commit, self.told_age(now), peer.stamp, admitted))

    def _on_appended(self, now, message):
        if message.term > self.term:
            self._step_down(message.term)
            return
        peer = self.peers.get(message.sender)
        if self.role is not Role.LEADER or peer is None or message.term != self.term:
            return
        if peer.nonce and not message.nonce and not peer.admitted:
            return  # said by the process before the one that recovers
        self.reports[message.sender] = message
        peer.stamp = max(peer.stamp, message.stamp)
        self._note_nonce(now, peer, message)
        if message.accepted:
            peer.next = max(peer.next, message.last_revision + 1)
        else:
            peer.next = min(message.last_revision, self.last[1]) + 1
        if not peer.nonce:
            peer.acknowledged = max(peer.acknowledged, message.round)
            if message.accepted:
                peer.match = max(peer.match, message.last_revision)
        self._confirm_leadership()
        committed = self._commit_on_majority(now)
        if committed:
            self._broadcast(now)
        elif not message.accepted or peer.sent < self.last[1]:
            self._send_entries(now, message.sender, again=not message.accepted)

    def _note_nonce(self, now, peer, message):
        """A replica that lost its state counts for nothing until it is admitted again."""
        if message.nonce and message.nonce != peer.nonce:
            peer.nonce_at, peer.match, peer.acknowledged, peer.admitted = now, 0, 0, False
        peer.nonce = message.nonce

    def _confirm_leadership(self):
        """The newest round that a majority answered was begun while we led for certain."""
        rounds = sorted([self.round, *(peer.acknowledged for peer in self.peers.values())], reverse=True)
        confirmed = rounds[self.majority - 1]
        if confirmed in self.round_began:
            self.quorum_at = max(self.quorum_at, self.round_began[confirmed])
            for old in [one for one in self.round_began if one < confirmed]:
                del self.round_began[old]

    def _commit_on_majority(self, now):
        """Commits what a majority holds, once that includes an entry of our own term. True if it did."""
        held = sorted([self.last[1], *(peer.match for peer in self.peers.values())], reverse=True)
        revision = held[self.majority - 1]
        if revision <= self.store.revision or self._term_at(revision) != self.term:
            return False
        self._commit(revision)
        return True
