"""One replica: elections, replication of writes to a majority, and recovery of one that lost its state.

The rules are Raft's (Ongaro and Ousterhout 2014) with preliminary votes, a leader that steps down when no
majority answers, and a log whose committed part is folded into the store at once: what a follower lacks of it
travels as the newest entries since its own revision. What is handed out by `poll` must be saved before it is
sent.
"""

from dataclasses import dataclass, field
from enum import Enum

import msgspec

from .entry import Entry
from .freshness import Freshness
from .messages import (
    Append,
    Appended,
    Install,
    RecoverReply,
    RecoverRequest,
    Vote,
    VoteRequest,
)
from .pace import KEYS_MOST, PROPOSALS_MOST, STATE_BYTES_MOST, ReplicaPace
from .store import VersionedStore, export, restore

NONCES = 2**62


class Role(Enum):
    """What a replica does at the moment."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class WriteRefused(Exception):
    """The write was not taken, and has no effect."""


class NotLeader(WriteRefused):
    """`leader`: the replica to ask, or "" if none is known."""

    def __init__(self, leader):
        super().__init__(f"the leader is {leader}" if leader else "no leader is known")
        self.leader = leader


class NoMajority(WriteRefused):
    """No majority of the replicas confirms the leader."""


class Conflict(WriteRefused):
    """The key is not at the revision that the writer expected."""


class Overloaded(WriteRefused):
    """Too many writes wait, too many keys or too many bytes are held."""


class ReplicaState(msgspec.Struct, array_like=True):
    """What has to outlive the process."""

    term: int
    voted_for: str
    revision: int
    committed_term: int
    forgotten: int
    versions: list[Entry]
    requests: list[tuple[str, int]]
    uncommitted: list[Entry]


@dataclass(frozen=True)
class Addressed:
    """A message for the replica `to`."""

    to: str
    message: object


@dataclass
class Step:
    """What is to be done now: save `state` if there is one, then send `messages`; `committed` are the entries
    that were committed here, in order."""

    state: ReplicaState | None = None
    messages: list[Addressed] = field(default_factory=list)
    committed: list[Entry] = field(default_factory=list)


@dataclass
class Peer:
    """What a leader knows of another replica."""

    next: int  # revision that it is to be sent next
    match: int = 0  # it holds everything up to here
    acknowledged: int = 0  # newest round that it answered
    nonce: int = 0  # of its recovery, 0 if it counts
    nonce_at: int = 0  # ns when that was first heard
    admitted: bool = False  # it was told that it counts again
    stamp: int = 0  # newest time of its clock that it told


class Replica:
    """`names`: all replicas, this one too. `saved`: the ReplicaState that was saved last, None if there is
    none: then the replica votes for nobody until the others have shown that this is the first start, or a
    leader has brought it up to date. `subscribers`, a Feed, is asked for what followers report. Call
    `receive` with what came, `advance` when `next_at` is due, `poll` after each."""

    def __init__(self, cluster, name, names, now, chance, pace=None, saved=None):
        self.cluster, self.name = cluster, name
        self.others = sorted(other for other in names if other != name)
        self.pace, self.chance = pace or ReplicaPace(), chance
        self.term, self.voted_for, self.store, self.uncommitted = 0, "", VersionedStore(), []
        self.role, self.leader, self.peers = Role.FOLLOWER, "", {}
        self.votes, self.preliminary = set(), False
        self.round, self.round_began, self.quorum_at = 0, {}, now
        self.freshness = Freshness()
        self.leader_heard_at = now - self.pace.election_most
        self.nonce, self.silent_until, self.blank_replies = 0, 0, set()
        self.subscribers, self.reports = None, {}  # a Feed, once there is one; name -> its last Appended
        self.step, self.changed = Step(), False
        if saved is None:
            self._begin_recovery(now)
        else:
            self._restore(saved)
        self.heartbeat_at = now
        self._await_leader(now)
        if not self.others and self.nonce:
            self._finish_recovery()

    # ---- what is asked of it

    @property
    def majority(self):
        """Replicas that make a majority."""
        return (len(self.others) + 1) // 2 + 1

    @property
    def recovering(self):
        """Whether this replica must not vote yet."""
        return self.nonce != 0

    @property
    def last(self):
        """(term, revision) of the newest entry held, committed or not."""
        if self.uncommitted:
            return self.uncommitted[-1].term, self.uncommitted[-1].revision
        return self.store.term, self.store.revision

    def has_majority(self, now):
        """Whether this replica leads and a majority has confirmed that lately."""
        return self.role is Role.LEADER and now - self.quorum_at <= self.pace.quorum_within

    def age(self, now):
        """ns since it was certain that nothing newer than `store.revision` was committed; None if it never
        was.
        """
        self._lead_is_fresh(now)
        return self.freshness.age(now)

    def told_age(self, now):
        """The age as it is told to others: AGE_UNKNOWN in place of None."""
        self._lead_is_fresh(now)
        return self.freshness.told_age(now)

    def _lead_is_fresh(self, now):
        """A leader that has committed in its own term holds all that is committed, as long as it leads."""
        if self.role is Role.LEADER and self.store.term == self.term:
            self.freshness.heard(self.quorum_at, self.store.revision, 0, self.store.revision)

    def next_at(self):
        """ns by which `advance` has to be called."""
        if self.role is Role.LEADER:
            return self.heartbeat_at
        if self.recovering:
            return min(self.heartbeat_at, self.election_at)
        return self.election_at

    def poll(self):
        """The Step that is due since the last call."""
        step, self.step = self.step, Step()
        if self.changed:
            step.state, self.changed = self._state(), False
        return step

    def put(self, now, key, value, request, expected=None):
        """Proposes a write; `value` None removes the key. `expected`: the revision that the key must be at.
        Gives the revision that the write has once it is committed; a request that was seen before gives its
        own. Raises WriteRefused."""
        if self.role is not Role.LEADER:
            raise NotLeader(self.leader)
        if not self.has_majority(now):
            raise NoMajority("no majority of the replicas answers")
        if request and (known := self._revision_of(request)):
            return known
        current = self._current(key)
        if expected is not None and expected != (current.revision if current else 0):
            raise Conflict(f"{key} is at revision {current.revision if current else 0}, not {expected}")
        self._check_room(key, value)
        entry = Entry(key, self.last[1] + 1, self.term, request, value)
        self._propose(now, entry)
        return entry.revision

    # ---- time and messages

    def advance(self, now):
        """Does what is due."""
        if self.recovering and now >= self.heartbeat_at:
            self._ask_whether_blank(now)
        if self.role is Role.LEADER:
            self._lead(now)
        elif now >= self.election_at and not self.recovering:
            self._start_preliminary_vote(now)
        elif now >= self.election_at:
            self._await_leader(now)

    def receive(self, now, message):
        """Takes what another replica says."""
        if message.cluster != self.cluster or message.sender not in self.others:
            return
        self._handlers[type(message)](self, now, message)

    # ---- recovery without state

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
        if message.nonce != self.nonce or not message.blank:
            return
        self.blank_replies.add(message.sender)
        if len(self.blank_replies) == len(self.others):
            self._finish_recovery()

    def _finish_recovery(self):
        self.nonce, self.silent_until, self.changed = 0, 0, True

    # ---- elections

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
        self.peers = {other: Peer(self.last[1] + 1) for other in self.others}
        self.round, self.round_began, self.quorum_at = 0, {}, now
        self._propose(now, Entry("", self.last[1] + 1, self.term, "", None))

    def _step_down(self, term):
        if term > self.term:
            self.term, self.voted_for, self.changed = term, "", True
        self.role, self.peers, self.preliminary, self.votes = Role.FOLLOWER, {}, False, set()

    # ---- leading

    def _lead(self, now):
        if now - self.quorum_at > self.pace.election_most:
            self._step_down(self.term)
            self.leader = ""
            self._await_leader(now)
        elif now >= self.heartbeat_at:
            self._broadcast(now)

    def _propose(self, now, entry):
        self.uncommitted.append(entry)
        self.changed = True
        self._commit_on_majority(now)
        self._broadcast(now)

    def _broadcast(self, now):
        """A new round: everyone is sent what it lacks, or a heartbeat."""
        self.heartbeat_at = now + self.pace.heartbeat
        self.round += 1
        self.round_began[self.round] = now
        if not self.others:
            self.quorum_at = now
        for other in self.others:
            self._send_entries(now, other)

    def _send_entries(self, now, other):
        peer = self.peers[other]
        previous = peer.next - 1
        head = (self.cluster, self.name, self.term, self.round)
        if previous < self.store.revision:
            changes = list(self.store.since(previous))
            keys = None
            if previous < self.store.forgotten:
                keys = [entry.key for entry in self.store.live()]
            commit = (self.store.term, self.store.revision)
            requests = [(name, at) for name, at in self.store.requests.items() if at > previous]
            self._send(other, Install(*head, previous, *commit, changes, keys, requests))
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
        elif not message.accepted or peer.next <= self.last[1]:
            self._send_entries(now, message.sender)

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

    # ---- following

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

    # ---- the log

    def _term_at(self, revision):
        """Term of the entry at a revision; None if it is not held, or folded into the store."""
        if revision == self.store.revision:
            return self.store.term
        position = revision - self.store.revision - 1
        return self.uncommitted[position].term if 0 <= position < len(self.uncommitted) else None

    def _commit(self, revision):
        while self.uncommitted and self.uncommitted[0].revision <= revision:
            entry = self.uncommitted.pop(0)
            self.store.apply(entry)
            self.store.advance(entry.revision, entry.term)
            self.step.committed.append(entry)
            self.changed = True
        self.freshness.reached(self.store.revision)

    def _current(self, key):
        """The newest Entry of a key, committed or not; None if there is none or it is removed."""
        proposed = (entry for entry in reversed(self.uncommitted) if entry.key == key)
        entry = next(proposed, None) or self.store.get(key)
        return entry if entry is not None and entry.value is not None else None

    def _revision_of(self, request):
        proposed = (entry.revision for entry in self.uncommitted if entry.request == request)
        return next(proposed, None) or self.store.requests.get(request)

    def _check_room(self, key, value):
        if len(self.uncommitted) >= PROPOSALS_MOST:
            raise Overloaded(f"{PROPOSALS_MOST} writes wait for a majority")
        if value is not None and self.store.get(key) is None and self.store.live_count >= KEYS_MOST:
            raise Overloaded(f"{KEYS_MOST} keys are held")
        if self.store.bytes + len(value or b"") > STATE_BYTES_MOST:
            raise Overloaded(f"{STATE_BYTES_MOST} bytes are held")

    # ---- state and messages

    def _state(self):
        store = self.store
        numbers = (self.term, self.voted_for, store.revision, store.term, store.forgotten)
        return ReplicaState(*numbers, export(store), list(store.requests.items()), list(self.uncommitted))

    def _restore(self, saved):
        self.term, self.voted_for, self.uncommitted = saved.term, saved.voted_for, list(saved.uncommitted)
        position = (saved.revision, saved.committed_term)
        self.store = restore(*position, saved.versions, saved.requests, saved.forgotten)

    def _send(self, to, message):
        self.step.messages.append(Addressed(to, message))

    _handlers = {
        VoteRequest: _on_vote_request,
        Vote: _on_vote,
        Append: _on_append,
        Install: _on_install,
        Appended: _on_appended,
        RecoverRequest: _on_recover_request,
        RecoverReply: _on_recover_reply,
    }
