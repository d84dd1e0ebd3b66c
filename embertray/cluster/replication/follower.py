"""What a follower does: accepts entries and whole states from the leader of its term."""

from .messages import Appended
from .replica_core import ReplicaCore
from .replica_state import Role


class FollowerRole(ReplicaCore):
    """Replication as seen by a follower. It never accepts a write from a client."""

    def __init__(self, cluster, name, names, now, *args, **kwargs):
        super().__init__(cluster, name, names, now, *args, **kwargs)
        self.leader_last_received_at = now - self.timing.election_timeout_max  # ns; no leader is heard yet

    def _accept_leader(self, now, message):
        """Whether the sender leads in our term or a newer one; then it is our leader."""
        if message.term < self.term:
            self._reply(now, message, False)
            return False
        if message.term > self.term or self.role is not Role.FOLLOWER:
            self._step_down(message.term)
        self.leader = message.sender
        self.leader_last_received_at = now
        self._reset_election_timer(now)
        return True

    def _on_append(self, now, message):
        if not self._accept_leader(now, message):
            return
        if not self._continues_log(message):
            self._reply(now, message, False)
            return
        self._append_entries(message.entries)
        matched = max(message.previous_revision + len(message.entries), self.store.revision)
        self._commit(min(message.commit, matched))
        if 0 < message.echo <= now:  # an echo in the future is of a clock before this machine's boot
            self.freshness.observe_commit(message.echo, message.commit, message.age, self.store.revision)
        if self.nonce and message.admitted == self.nonce and not self.prior_votes_expire_at:
            self._finish_recovery()
        self._reply(now, message, True, matched)

    def _continues_log(self, message):
        """Whether the entry before the new ones is in our log, with the same term."""
        if message.previous_revision > self.store.revision:
            return self._term_at(message.previous_revision) == message.previous_term
        # a committed revision under another term: the commit rule excludes it, so nothing is built on it
        same_revision = message.previous_revision == self.store.revision
        return not (same_revision and message.previous_term != self.store.term)

    def _append_entries(self, entries):
        """Adds new entries; an uncommitted one of another term, and all after it, is replaced."""
        for entry in entries:
            if entry.revision <= self.store.revision:
                continue
            term = self._term_at(entry.revision)
            if term == entry.term:
                continue
            if term is not None:
                del self.uncommitted[entry.revision - self.store.revision - 1 :]
            self.uncommitted.append(entry)
            self.state_changed = True

    def _on_install(self, now, message):
        if not self._accept_leader(now, message):
            return
        if message.since > self.store.revision:
            self._reply(now, message, False)
            return
        if message.commit > self.store.revision:
            self._install(message)
        self._reply(now, message, True, max(message.commit, self.store.revision))

    def _install(self, message):
        """Takes over the leader's committed state, and the part of our log that continues it."""
        same_log = self._term_at(message.commit) == message.commit_term
        remainder = self.uncommitted[message.commit - self.store.revision :] if same_log else []
        for entry in message.entries:
            if self.store.apply(entry):
                self.instructions.committed.append(entry)
        if message.keys is not None:
            self._remove_all_but(message.keys, message.commit)
        self.store.record_requests(message.requests)
        self.store.advance(message.commit, message.commit_term)
        self.uncommitted = remainder
        self.state_changed = True
        self.freshness.revision_reached(self.store.revision)

    def _remove_all_but(self, live_keys, commit):
        """Drops keys whose removal the leader no longer remembers.

        Such a removal is not among the entries. Were the key kept, this replica would hand it on as live when
        it leads. The removals themselves stay unknown here, so the store is marked as having forgotten them.
        """
        kept = set(live_keys)
        for entry in [live for live in self.store.live_entries() if live.key not in kept]:
            self.store.discard(entry.key)
        self.store.forgotten = max(self.store.forgotten, commit)

    def _reply(self, now, message, accepted, last_revision=None):
        """Answers an Append or Install, with what our subscribers have confirmed."""
        reply = Appended(
            cluster=self.cluster,
            sender=self.name,
            term=self.term,
            round=message.round,
            accepted=accepted,
            last_revision=self.store.revision if last_revision is None else last_revision,
            nonce=self.nonce,
            stamp=now,
            subscribers=self.feed.count if self.feed else 0,
            lowest_confirmed=self.feed.lowest_confirmed if self.feed else self.store.revision,
        )
        self._send(message.sender, reply)
