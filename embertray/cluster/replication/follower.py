"""What a follower does: takes entries and states from the leader of its term."""

from .messages import Appended
from .replica_core import ReplicaCore
from .replica_types import Role


class FollowerRole(ReplicaCore):
    """Has `leader` and the time when that was last heard."""

    def _follow(self, now, message):
        """True if the message is of a leadership that holds; then its sender is our leader."""
        if message.term < self.term:
            self._answer(now, message, False)
            return False
        if message.term > self.term or self.role is not Role.FOLLOWER:
            self._step_down(message.term)
        self.leader, self.leader_heard_at = message.sender, now
        self._await_leader(now)
        return True

    def _on_append(self, now, message):
        if not self._follow(now, message):
            return
        if message.previous_revision > self.store.revision:
            if self._term_at(message.previous_revision) != message.previous_term:
                self._answer(now, message, False)
                return
        elif self._diverged(message):
            self._answer(now, message, False)
            return
        self._take_entries(message.entries)
        matched = max(message.previous_revision + len(message.entries), self.store.revision)
        self._commit(min(message.commit, matched))
        if 0 < message.echo <= now:  # not one of a former boot
            self.freshness.heard(message.echo, message.commit, message.age, self.store.revision)
        if self.nonce and message.admitted == self.nonce and not self.silent_until:
            self._finish_recovery()
        self._answer(now, message, True, matched)

    def _diverged(self, message):
        """Whether an Append continues a committed revision of ours under another term: it never should."""
        same = message.previous_revision == self.store.revision
        return same and message.previous_term != self.store.term

    def _take_entries(self, entries):
        for entry in entries:
            if entry.revision <= self.store.revision:
                continue
            held = self._term_at(entry.revision)
            if held == entry.term:
                continue
            if held is not None:
                del self.uncommitted[entry.revision - self.store.revision - 1 :]
            self.uncommitted.append(entry)
            self.changed = True

    def _on_install(self, now, message):
        if not self._follow(now, message):
            return
        if message.since > self.store.revision:
            self._answer(now, message, False)
            return
        if message.commit > self.store.revision:
            self._install(message)
        self._answer(now, message, True, max(message.commit, self.store.revision))

    def _install(self, message):
        keep_rest = self._term_at(message.commit) == message.commit_term
        rest = self.uncommitted[message.commit - self.store.revision :] if keep_rest else []
        for entry in message.entries:
            if self.store.apply(entry):
                self.step.committed.append(entry)
        if message.keys is not None:
            kept = set(message.keys)
            for entry in [one for one in self.store.live() if one.key not in kept]:
                self.store.forget(entry.key)
            # of what was removed up to here some removals are not known here, either
            self.store.forgotten = max(self.store.forgotten, message.commit)
        self.store.remember(message.requests)
        self.store.advance(message.commit, message.commit_term)
        self.uncommitted, self.changed = rest, True
        self.freshness.reached(self.store.revision)

    def _answer(self, now, message, accepted, last_revision=None):
        last = self.store.revision if last_revision is None else last_revision
        feed = self.subscribers
        report = (feed.count, feed.lowest_confirmed) if feed else (0, self.store.revision)
        answer = (message.round, accepted, last, self.nonce, now, *report)
        self._send(message.sender, Appended(self.cluster, self.name, self.term, *answer))
