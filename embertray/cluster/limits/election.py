"""Leader election: starting ballots, voting and renewing the lease; and sending messages to all members."""

from abc import ABC, abstractmethod

from .history import RequestHistory
from .lease import Acceptor, Proposer
from .messages import HistoryRequest, OutgoingMessage, Prepare, Promise


class LeaderElection(ABC):
    """One member's part in the leader election: it votes, and may become a candidate.

    Attributes:
        history: The RequestHistory; this member may only lead once it is complete.
        leader_heard_at: When a leader was last heard of, ns.
        highest_ballot: The highest ballot seen of any proposer.
        next_election_at: When `run_election` is due, ns.
    """

    def __init__(self, name, names, now, rng, config, new_cluster):
        """Start a new incarnation.

        Args:
            name: Name of this member.
            names: Names of all members, sorted.
            now: The time, ns.
            rng: A seeded random.Random.
            config: A LimitsConfig.
            new_cluster: Whether no member has run before.
        """
        self.name = name
        self.names = names
        self.config = config
        self.rng = rng
        self.acceptor = Acceptor(config, now, new_cluster)
        self.proposer = Proposer(name, names.index(name), len(names), config)
        self.history = RequestHistory(name, len(names), new_cluster)
        self.highest_ballot = 0
        self.leader_heard_at = now
        self.next_election_at = now + rng.randrange(config.request_period)

    @abstractmethod
    def receive(self, now, sender, message):
        """Handle a received message (Limits)."""

    @abstractmethod
    def on_elected(self, now):
        """Start or continue to lead (Limits)."""

    def is_leader(self, now):
        """Return whether this member holds the lease and may grant quotas.

        Args:
            now: The time, ns.
        """
        return self.proposer.holds_lease(now)

    def run_election(self, now):
        """Renew the lease, or try to acquire it if no leader was heard of for half a term.

        A member whose history is incomplete requests the histories of the others instead.

        A candidate waits for a random time before its next attempt, so that two candidates do not keep
        preempting each other's ballots.

        Args:
            now: The time, ns.
        """
        self.next_election_at = now + self.config.request_period
        if not self.history.complete:
            return self.broadcast_to_others(HistoryRequest())
        half_term = self.config.lease_term // 2
        if not self.is_leader(now):
            if now - self.leader_heard_at <= half_term:
                return []
            self.next_election_at += self.rng.randrange(half_term)
        highest_seen = max(self.highest_ballot, self.acceptor.promised_ballot)
        return self.broadcast(now, self.proposer.start(highest_seen))

    def on_ballot(self, now, sender, message):
        """Pass a proposer's message to the acceptor, and send its answer.

        Args:
            now: The time, ns.
            sender: Name of the proposer.
            message: A Prepare or Propose.
        """
        self.highest_ballot = max(self.highest_ballot, message.ballot)
        if isinstance(message, Prepare):
            answer = self.acceptor.on_prepare(now, message)
        else:
            answer = self.acceptor.on_propose(now, message, sender)
        return self.reply(now, sender, answer)

    def on_vote(self, now, sender, message):
        """Pass a vote to the proposer.

        Args:
            now: The time, ns.
            sender: Name of the acceptor.
            message: A Promise or Accepted.
        """
        if isinstance(message, Promise):
            propose = self.proposer.on_promise(now, message, sender)
            return [] if propose is None else self.broadcast(now, propose)
        if self.proposer.on_accepted(now, message, sender):
            self.on_elected(now)
        return []

    def broadcast_to_others(self, message):
        """Return the OutgoingMessages that send a message to all other members.

        Args:
            message: The message.
        """
        return [OutgoingMessage(name, message) for name in self.names if name != self.name]

    def broadcast(self, now, message):
        """Send a message to all members; this member handles it at once.

        Args:
            now: The time, ns.
            message: The message.

        Returns:
            OutgoingMessages.
        """
        return self.broadcast_to_others(message) + self.receive(now, self.name, message)

    def reply(self, now, receiver, message):
        """Send a reply; if this member is the receiver, it handles the reply at once.

        Args:
            now: The time, ns.
            receiver: Name of the receiver.
            message: The message, None for no reply.

        Returns:
            OutgoingMessages.
        """
        if message is None:
            return []
        if receiver == self.name:
            return self.receive(now, self.name, message)
        return [OutgoingMessage(receiver, message)]
