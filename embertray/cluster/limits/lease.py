"""The leader's lease: at most one member holds it at a time, granted by a majority.

The protocol is PaxosLease (Trencseni, Gazso, Reinhardt, 2012): no disk and no common clock. Only the
difference between two readings of one clock counts, and the acceptors wait for longer than the holder does.

While it holds the lease, and not a moment longer, a member may lend units (`Limits.leads`) and renew the
lease. Whoever does not hold it may open a ballot once it has not heard of a leader for half a term.
"""

from .messages import Accepted, Prepare, Promise, Propose


class Acceptor:
    """One vote on who holds the lease.

    Rule: it accepts a proposal of the highest ballot that it has promised, and tells every other proposer of
    that lease until it has surely ended.

    Attributes:
        promised_ballot: No lower ballot is answered.
        holder: Who proposed what was accepted last; "" if nobody.
        lease_ends_at: When that has ended, ns by this member's clock.
    """

    def __init__(self, config, now, new_cluster=False):
        """Begin without any promise.

        Guards against a restart that forgets an accepted lease, which would show as two leaders: whoever
        starts stays silent until anything that a former incarnation accepted has ended.

        Args:
            config: A LimitsConfig.
            now: The time, ns.
            new_cluster: Whether no member has run before, so that there is nothing to forget.
        """
        self.config = config
        self.promised_ballot = 0
        self.holder = ""
        self.lease_ends_at = 0
        self.silent_until = now if new_cluster else now + config.drift_adjusted_term

    def current_holder(self, now):
        """Return whose lease was accepted and may still run; "" if none.

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
        """Return whether a message is answered at all.

        Args:
            now: The time, ns.
            message: A Prepare or Propose.
        """
        return now >= self.silent_until and message.ballot >= self.promised_ballot


class Proposer:
    """Tries to get the lease, and renews it.

    Attributes:
        lease_ends_at: Until when this member holds the lease, ns by its clock.
        leader_ballot: The ballot under which it leads. Renewals without a gap keep it, unless a later ballot
            is known: members that know the later one would take this member for a former leader.
        highest_known: The highest ballot of a leader that this member has heard of.
    """

    def __init__(self, name, index, count, config):
        """Begin without the lease.

        Args:
            name: Name of this member.
            index: Its place among the members, which makes its ballots its own.
            count: How many members there are.
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
        self.highest_known = 0

    def holds_lease(self, now):
        """Return whether this member holds the lease.

        Args:
            now: The time, ns.
        """
        return now < self.lease_ends_at

    def has_majority(self):
        """Return whether more than half of the members have voted in this phase of the ballot."""
        return 2 * len(self.votes) > self.count

    def start(self, highest_seen=0):
        """Open a ballot.

        Args:
            highest_seen: The highest ballot that was seen of anybody.

        Returns:
            The Prepare to send to all.
        """
        self.round = max(self.round, highest_seen // self.count) + 1
        self.ballot = self.round * self.count + self.index
        self.votes = set()
        self.proposed = False
        return Prepare(self.ballot)

    def on_promise(self, now, message, sender):
        """Count a Promise.

        Args:
            now: The time, ns. The term runs from here, before anybody has accepted.
            message: The Promise.
            sender: Who promised.

        Returns:
            The Propose to send to all once a majority has promised; else None.
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
            sender: Who accepted.

        Returns:
            True if this member has got the lease, or a longer one.
        """
        if message.ballot != self.ballot or not self.proposed:
            return False
        self.votes.add(sender)
        ends_at = self.proposed_at + self.config.lease_term
        if not self.has_majority() or ends_at <= max(now, self.lease_ends_at):
            return False
        if not self.holds_lease(now) or self.leader_ballot < self.highest_known:
            self.leader_ballot = self.ballot
        self.lease_ends_at = ends_at
        return True
