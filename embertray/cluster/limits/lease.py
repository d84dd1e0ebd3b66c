"""The leader's lease, granted by a majority: at most one member holds it at a time.

The protocol is PaxosLease (Trencseni, Gazso, Reinhardt, 2012). It needs neither a disk nor synchronised
clocks: only differences between two readings of the same clock are used, and an acceptor considers the lease
valid for longer than its holder does.

Only while it holds the lease may a member grant quotas (`Limits.is_leader`) and renew the lease. Any other
member may start a ballot if it has not heard of a leader for half a term.
"""

from .messages import Accepted, Prepare, Promise, Propose


class Acceptor:
    """A member's vote on who holds the lease.

    It accepts proposals whose ballot is not below the highest one that it has promised. Until the accepted
    lease has certainly ended, it reports the holder to every proposer.

    Attributes:
        promised_ballot: Messages with a lower ballot are not answered.
        holder: Name of the member whose proposal was accepted last; "" if none.
        lease_ends_at: When that lease has certainly ended, ns by this member's clock.
    """

    def __init__(self, config, now, new_cluster=False):
        """Start without any promise.

        A restarted acceptor has forgotten the lease that it accepted, which could lead to two leaders. It
        therefore does not answer until any lease that a former incarnation accepted has ended.

        Args:
            config: A LimitsConfig.
            now: The time, ns.
            new_cluster: Whether no member has run before, so that no lease can have been accepted.
        """
        self.config = config
        self.promised_ballot = 0
        self.holder = ""
        self.lease_ends_at = 0
        self.silent_until = now if new_cluster else now + config.drift_adjusted_term

    def current_holder(self, now):
        """Return the holder of the accepted lease if it may still be valid, else "".

        Args:
            now: The time, ns.
        """
        return self.holder if now < self.lease_ends_at else ""

    def on_prepare(self, now, message):
        """Answer a Prepare.

        Args:
            now: The time, ns.
            message: The Prepare.

        Returns:
            A Promise, or None.
        """
        if not self.may_answer(now, message):
            return None
        self.promised_ballot = message.ballot
        return Promise(message.ballot, self.current_holder(now))

    def on_propose(self, now, message, sender):
        """Answer a Propose.

        Args:
            now: The time, ns.
            message: The Propose.
            sender: Name of the proposer.

        Returns:
            An Accepted, or None.
        """
        if not self.may_answer(now, message):
            return None
        self.promised_ballot = message.ballot
        self.holder = sender
        self.lease_ends_at = now + self.config.drift_adjusted_term
        return Accepted(message.ballot)

    def may_answer(self, now, message):
        """Return whether a message may be answered.

        Args:
            now: The time, ns.
            message: A Prepare or Propose.
        """
        return now >= self.silent_until and message.ballot >= self.promised_ballot


class Proposer:
    """Acquires and renews the lease.

    Attributes:
        lease_ends_at: When this member's lease ends, ns by its clock.
        leader_ballot: The ballot under which it leads. Renewals without a gap keep it, unless a later ballot
            is known: members that know the later one would consider this member a former leader.
        highest_leader_ballot: The highest known ballot of a leader.
    """

    def __init__(self, name, index, count, config):
        """Start without the lease.

        Args:
            name: Name of this member.
            index: Its index among the members, which makes its ballots unique.
            count: Number of members.
            config: A LimitsConfig.
        """
        self.name = name
        self.index = index
        self.count = count
        self.config = config
        self.round = 0
        self.ballot = 0
        self.votes = set()
        self.proposed = False
        self.proposed_at = 0
        self.leader_ballot = 0
        self.lease_ends_at = 0
        self.highest_leader_ballot = 0

    def holds_lease(self, now):
        """Return whether this member holds the lease.

        Args:
            now: The time, ns.
        """
        return now < self.lease_ends_at

    def has_majority(self):
        """Return whether a majority of the members has voted in the current phase of the ballot."""
        return 2 * len(self.votes) > self.count

    def start(self, highest_seen=0):
        """Start a ballot.

        Args:
            highest_seen: The highest ballot seen of any proposer.

        Returns:
            The Prepare to send to all members.
        """
        self.round = max(self.round, highest_seen // self.count) + 1
        self.ballot = self.round * self.count + self.index
        self.votes = set()
        self.proposed = False
        return Prepare(self.ballot)

    def on_promise(self, now, message, sender):
        """Count a Promise.

        Args:
            now: The time, ns. With a majority the lease term starts here, before any acceptor's.
            message: The Promise.
            sender: Name of the acceptor.

        Returns:
            The Propose to send to all members if a majority has promised, else None.
        """
        if message.ballot != self.ballot or self.proposed or message.holder not in ("", self.name):
            return None
        self.votes.add(sender)
        if not self.has_majority():
            return None
        self.proposed = True
        self.votes = set()
        self.proposed_at = now
        return Propose(self.ballot)

    def on_accepted(self, now, message, sender):
        """Count an Accepted.

        Args:
            now: The time, ns.
            message: The Accepted.
            sender: Name of the acceptor.

        Returns:
            Whether this member has thereby acquired or extended the lease.
        """
        if message.ballot != self.ballot or not self.proposed:
            return False
        self.votes.add(sender)
        ends_at = self.proposed_at + self.config.lease_term
        if not self.has_majority() or ends_at <= max(now, self.lease_ends_at):
            return False
        if not self.holds_lease(now) or self.leader_ballot < self.highest_leader_ballot:
            self.leader_ballot = self.ballot
        self.lease_ends_at = ends_at
        return True
