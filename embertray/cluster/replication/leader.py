"""The leader's part: accepts writes, replicates them in rounds, and commits what a majority has on disk.

A round that a majority answers confirms the leader. If the last such round was sent longer ago than the
minimum election timeout, the leader accepts no writes; after the maximum election timeout it steps down.
"""

from dataclasses import dataclass

from .entry import Entry
from .messages import Append, Install
from .replica_core import ReplicaCore
from .replica_state import Role


@dataclass
class FollowerProgress:
    """Replication state of one other replica, as known to the leader.

    Attributes:
        next_revision: revision of the next entry to send.
        match_revision: the replica has everything up to this revision on disk.
        sent_revision: the newest revision that was sent, confirmed or not.
        acknowledged_round: the newest round that the replica answered.
        nonce: nonce of its recovery; 0 if it is not recovering and its answers count.
        nonce_received_at: ns when that nonce was first received.
        admitted: whether an Append that ends its recovery was sent.
        stamp: the newest stamp received from it, ns of its clock.
    """

    next_revision: int
    match_revision: int = 0
    sent_revision: int = 0
    acknowledged_round: int = 0
    nonce: int = 0
    nonce_received_at: int = 0
    admitted: bool = False
    stamp: int = 0


class LeaderRole(ReplicaCore):
    """Replication from the leader's side."""

    def __init__(self, cluster, name, names, now, *args, **kwargs):
        super().__init__(cluster, name, names, now, *args, **kwargs)
        self.followers = {}  # name -> FollowerProgress, while this replica leads
        self.round = 0  # number of the newest round of this term
        self.round_started_at = {}  # round -> ns, for rounds that no majority has answered yet
        self.quorum_confirmed_at = now  # ns when the newest round that a majority answered was sent
        self.reports = {}  # name -> the last Appended received from that replica

    def has_majority(self, now):
        """Whether this replica leads and a majority has confirmed that within the quorum timeout."""
        return self.role is Role.LEADER and now - self.quorum_confirmed_at <= self.timing.quorum_timeout

    def _become_leader(self, now):
        """Starts the term with an empty entry: a leader can commit only through an entry of its own term."""
        self.role = Role.LEADER
        self.leader = self.name
        self.followers = {other: FollowerProgress(self.last_revision + 1) for other in self.others}
        self.round = 0
        self.round_started_at = {}
        self.quorum_confirmed_at = now
        self._propose(now, Entry("", self.last_revision + 1, self.term, "", None))

    def _advance_leader(self, now):
        """Sends a heartbeat if one is due, or steps down if no majority answers."""
        if now - self.quorum_confirmed_at > self.timing.election_timeout_max:
            self._step_down(self.term)
            self.leader = ""
            self._reset_election_timer(now)
        elif now >= self.heartbeat_at:
            self._broadcast(now, resend=True)

    def _propose(self, now, entry):
        self.uncommitted.append(entry)
        self.state_changed = True
        self._commit_on_majority(now)
        self._broadcast(now)

    # ---- sending

    def _broadcast(self, now, resend=False):
        """Starts a round: sends new entries or a heartbeat to all; with `resend` also unconfirmed entries."""
        self.heartbeat_at = now + self.timing.heartbeat_interval
        self.round += 1
        self.round_started_at[self.round] = now
        if not self.others:
            self.quorum_confirmed_at = now
        for other in self.others:
            self._replicate_to(now, other, resend)

    def _replicate_to(self, now, other, resend):
        """Sends the entries that the follower lacks, or committed state if they are no longer in the log."""
        progress = self.followers[other]
        previous = progress.next_revision - 1
        if not resend:
            previous = max(previous, progress.sent_revision)
        if previous < self.store.revision:
            progress.sent_revision = self.store.revision
            self._send(other, self._install_message(previous))
        else:
            progress.sent_revision = self.last_revision
            self._send(other, self._append_message(now, progress, previous))

    def _install_message(self, previous):
        live_keys = None
        if previous < self.store.forgotten:
            live_keys = [entry.key for entry in self.store.live_entries()]
        return Install(
            cluster=self.cluster,
            sender=self.name,
            term=self.term,
            round=self.round,
            since=previous,
            commit_term=self.store.term,
            commit=self.store.revision,
            entries=list(self.store.entries_since(previous)),
            keys=live_keys,
            requests=[
                (name, revision) for name, revision in self.store.requests.items() if revision > previous
            ],
        )

    def _append_message(self, now, progress, previous):
        # A recovering replica is readmitted once a majority has confirmed the leader after its nonce arrived.
        # Its own answers do not count while it recovers, so that majority does not include it, and no vote of
        # its previous process can elect a leader that lacks a committed entry.
        readmit = progress.nonce and self.quorum_confirmed_at > progress.nonce_received_at
        admitted = progress.nonce if readmit else 0
        progress.admitted = progress.admitted or bool(admitted)
        return Append(
            cluster=self.cluster,
            sender=self.name,
            term=self.term,
            round=self.round,
            previous_term=self._term_at(previous),
            previous_revision=previous,
            entries=self.uncommitted[previous - self.store.revision :],
            commit=self.store.revision,
            age=self.advertised_age(now),
            echo=progress.stamp,
            admitted=admitted,
        )

    # ---- answers

    def _on_appended(self, now, message):
        if message.term > self.term:
            self._step_down(message.term)
            return
        progress = self.followers.get(message.sender)
        if self.role is not Role.LEADER or progress is None or message.term != self.term:
            return
        if progress.nonce and not message.nonce and not progress.admitted:
            return  # sent by its previous process, before it lost its state
        self.reports[message.sender] = message
        self._update_progress(now, progress, message)
        self._confirm_leadership()
        if self._commit_on_majority(now):
            self._broadcast(now)
        elif not message.accepted or progress.sent_revision < self.last_revision:
            self._replicate_to(now, message.sender, resend=not message.accepted)

    def _update_progress(self, now, progress, message):
        progress.stamp = max(progress.stamp, message.stamp)
        if message.nonce and message.nonce != progress.nonce:
            # the replica lost its state: its earlier confirmations no longer count
            progress.nonce_received_at = now
            progress.match_revision = 0
            progress.acknowledged_round = 0
            progress.admitted = False
        progress.nonce = message.nonce
        if message.accepted:
            progress.next_revision = max(progress.next_revision, message.last_revision + 1)
        else:
            progress.next_revision = min(message.last_revision, self.last_revision) + 1
        if progress.nonce:
            return
        progress.acknowledged_round = max(progress.acknowledged_round, message.round)
        if message.accepted:
            progress.match_revision = max(progress.match_revision, message.last_revision)

    def _confirm_leadership(self):
        """Records the start of the newest round that a majority answered: at that time this replica led."""
        acknowledged = [progress.acknowledged_round for progress in self.followers.values()]
        confirmed = sorted([self.round, *acknowledged], reverse=True)[self.majority - 1]
        if confirmed in self.round_started_at:
            self.quorum_confirmed_at = max(self.quorum_confirmed_at, self.round_started_at[confirmed])
            for outdated in [number for number in self.round_started_at if number < confirmed]:
                del self.round_started_at[outdated]

    def _commit_on_majority(self, now):
        """Commits what a majority has on disk, if that includes an entry of the current term.

        An entry of an older term must not be committed by counting replicas, as a later leader could still
        replace it (Raft, section 5.4.2).

        Returns:
            Whether anything was committed.
        """
        matches = [progress.match_revision for progress in self.followers.values()]
        revision = sorted([self.last_revision, *matches], reverse=True)[self.majority - 1]
        if revision <= self.store.revision or self._term_at(revision) != self.term:
            return False
        self._commit(revision)
        return True
