"""The follower's part: accepts log entries and committed state from the leader of its term."""

from .messages import Appended
from .replica_core import ReplicaCore
from .replica_state import Role


class FollowerRole(ReplicaCore):
    """Replication from the follower's side. A follower never accepts a write from a client."""

    def __init__(self, cluster, name, names, now, *args, **kwargs):
        super().__init__(cluster, name, names, now, *args, **kwargs)
        self.leader_last_received_at = now - self.timing.election_timeout_max  # ns; long ago: no leader yet

    def _accept_leader(self, now, message):
        """Accepts the sender as leader unless its term is over. Returns whether it was accepted."""
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
        if 0 < message.echo <= now:  # an echo in the future is a stamp from before this machine rebooted
            self.freshness.observe_commit(message.echo, message.commit, message.age, self.store.revision)
        if self.nonce and message.admitted == self.nonce and not self.prior_votes_expire_at:
            self._finish_recovery()
        self._reply(now, message, True, matched)

    def _continues_log(self, message):
        """Whether the entry before the new ones is in this replica's log with the same term."""
        if message.previous_revision > self.store.revision:
            return self._term_at(message.previous_revision) == message.previous_term
        # The commit rule excludes a committed revision with two different terms; such a message is rejected.
        same_revision = message.previous_revision == self.store.revision
        return not (same_revision and message.previous_term != self.store.term)

    def _append_entries(self, entries):
        """Appends new entries; an uncommitted entry of another term is replaced, with all that follow it."""
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
        """Applies the leader's committed state, and keeps the uncommitted entries that continue it."""
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
        """Drops keys whose tombstone the leader no longer has.

        Such removals are not among the message's entries. If the keys were kept, this replica would serve
        them as live once it leads. The tombstones are missing here too, which `store.forgotten` records.
        """
        kept = set(live_keys)
        for entry in [live for live in self.store.live_entries() if live.key not in kept]:
            self.store.discard(entry.key)
        self.store.forgotten = max(self.store.forgotten, commit)

    def _reply(self, now, message, accepted, last_revision=None):
        """Answers an Append or Install, and reports what this replica's subscribers have confirmed."""
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
