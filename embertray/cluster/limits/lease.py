"""Who leads: at most one member at a time, by a lease that a majority granted. PaxosLease (Trencseni, Gazso,
Reinhardt, 2012): no disk, no common clock. An acceptor that starts stays silent until whatever it may have
granted in a former life has ended."""

from .messages import Accepted, Prepare, Promise, Propose


class Acceptor:
    """One voice. `until`: when what it accepted ends, by its clock."""

    def __init__(self, config, now, first=False):
        """`first`: the site starts for the first time; else what a former life accepted may still hold."""
        self.config, self.promised_ballot, self.holder, self.lease_ends_at = config, 0, "", 0
        self.silent_until = now if first else now + config.outer_term

    def current_holder(self, now):
        return self.holder if now < self.lease_ends_at else ""

    def on_prepare(self, now, message):
        if now < self.silent_until or message.ballot < self.promised_ballot:
            return None
        self.promised_ballot = message.ballot
        return Promise(message.ballot, self.current_holder(now))

    def on_propose(self, now, message, sender):
        if now < self.silent_until or message.ballot < self.promised_ballot:
            return None
        self.promised_ballot, self.holder, self.lease_ends_at = (
            message.ballot,
            sender,
            now + self.config.outer_term,
        )
        return Accepted(message.ballot)


class Proposer:
    """Tries for the lease, and renews it. `mine`: until when we hold it, by our clock; `tenure`: the ballot
    that it began with, which an unbroken row of renewals keeps, unless a later one is `known`: to whom that
    was told we would pass for a former leader."""

    def __init__(self, me, index, count, config):
        self.me, self.index, self.count, self.config = me, index, count, config
        self.round, self.ballot, self.votes, self.proposed, self.proposed_at = 0, 0, set(), False, 0
        self.tenure, self.lease_ends_at, self.highest_known = 0, 0, 0

    def holds_lease(self, now):
        return now < self.lease_ends_at

    def start(self, seen=0):
        """A new round, above all ballots `seen`: the Prepare to send to all."""
        self.round = max(self.round, seen // self.count) + 1
        self.ballot, self.votes, self.proposed = self.round * self.count + self.index, set(), False
        return Prepare(self.ballot)

    def on_promise(self, now, message, sender):
        """The Propose to send to all, once a majority is open; the term runs from before it is sent."""
        if message.ballot != self.ballot or self.proposed or message.holder not in ("", self.me):
            return None
        self.votes.add(sender)
        if 2 * len(self.votes) <= self.count:
            return None
        self.proposed, self.votes, self.proposed_at = True, set(), now
        return Propose(self.ballot)

    def on_accepted(self, now, message, sender):
        """True once the lease is ours."""
        if message.ballot != self.ballot or not self.proposed:
            return False
        self.votes.add(sender)
        if 2 * len(self.votes) > self.count and self.proposed_at + self.config.lease_term > max(
            now, self.lease_ends_at
        ):
            self.tenure = (
                self.tenure if self.holds_lease(now) and self.tenure >= self.highest_known else self.ballot
            )
            self.lease_ends_at = self.proposed_at + self.config.lease_term
            return True
        return False
