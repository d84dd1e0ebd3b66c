"""Who leads: at most one member at a time, by a lease that a majority granted. PaxosLease (Trencseni, Gazso,
Reinhardt, 2012): no disk, no common clock. An acceptor that starts stays silent until whatever it may have
granted in a former life has ended."""

from .messages import Accepted, Prepare, Promise, Propose


class Acceptor:
    """One voice. `until`: when what it accepted ends, by its clock."""

    def __init__(self, pace, now, first=False):
        """`first`: the site starts for the first time; else what a former life accepted may still hold."""
        self.pace, self.promised, self.owner, self.until = pace, 0, "", 0
        self.silent_until = now if first else now + pace.outer

    def standing(self, now):
        return self.owner if now < self.until else ""

    def on_prepare(self, now, message):
        if now < self.silent_until or message.ballot < self.promised:
            return None
        self.promised = message.ballot
        return Promise(message.ballot, self.standing(now))

    def on_propose(self, now, message, sender):
        if now < self.silent_until or message.ballot < self.promised:
            return None
        self.promised, self.owner, self.until = message.ballot, sender, now + self.pace.outer
        return Accepted(message.ballot)


class Proposer:
    """Tries for the lease, and renews it. `mine`: until when we hold it, by our clock; `tenure`: the ballot
    that it began with, which an unbroken row of renewals keeps, unless a later one is `known`: to whom that
    was told we would pass for a former leader."""

    def __init__(self, me, index, count, pace):
        self.me, self.index, self.count, self.pace = me, index, count, pace
        self.round, self.trying, self.voices, self.proposed, self.began = 0, 0, set(), False, 0
        self.tenure, self.mine, self.known = 0, 0, 0

    def holds(self, now):
        return now < self.mine

    def start(self, seen=0):
        """A new round, above all ballots `seen`: the Prepare to send to all."""
        self.round = max(self.round, seen // self.count) + 1
        self.trying, self.voices, self.proposed = self.round * self.count + self.index, set(), False
        return Prepare(self.trying)

    def on_promise(self, now, message, sender):
        """The Propose to send to all, once a majority is open; the term runs from before it is sent."""
        if message.ballot != self.trying or self.proposed or message.owner not in ("", self.me):
            return None
        self.voices.add(sender)
        if 2 * len(self.voices) <= self.count:
            return None
        self.proposed, self.voices, self.began = True, set(), now
        return Propose(self.trying)

    def on_accepted(self, now, message, sender):
        """True once the lease is ours."""
        if message.ballot != self.trying or not self.proposed:
            return False
        self.voices.add(sender)
        if 2 * len(self.voices) > self.count and self.began + self.pace.term > max(now, self.mine):
            self.tenure = self.tenure if self.holds(now) and self.tenure >= self.known else self.trying
            self.mine = self.began + self.pace.term
            return True
        return False
