"""Who leads, in every order of events."""

from embertray.cluster.limits.lease import Acceptor, Proposer
from embertray.cluster.limits.messages import Accepted, Prepare, Promise, Propose
from embertray.experiments.measure.explore import clone

from .ticks import Ticks


class LeaderModel:
    """Three acceptors, two that try to lead. A message stays on its way and may arrive again and again, or
    never. One clock may stand still for one tick (it is slow within the drift), one member may crash and
    forget all. Property: never two that hold the lease."""

    names = ("a", "b", "c")

    def __init__(self, rounds=2, ticks=5, crashes=1, acceptor=Acceptor, pace=Ticks):
        self.rounds, self.ticks, self.crashes, self.lags, self.make, self.pace = (
            rounds,
            ticks,
            crashes,
            1,
            acceptor,
            pace,
        )
        self.clock = dict.fromkeys(self.names, 10)
        self.acceptors = {name: acceptor(pace, 10, True) for name in self.names}
        self.proposers = {name: Proposer(name, n, 3, pace) for n, name in enumerate(self.names[:2])}
        self.network = set()

    def copy(self):
        other = clone(self)
        other.acceptors = {name: clone(one) for name, one in self.acceptors.items()}
        other.proposers = {name: clone(one) for name, one in self.proposers.items()}
        other.clock, other.network = self.clock.copy(), self.network.copy()
        return other

    def key(self):
        return (
            tuple(
                (a.promised_ballot, a.holder, a.lease_ends_at, a.silent_until)
                for a in self.acceptors.values()
            ),
            tuple(
                (
                    p.round,
                    p.ballot,
                    frozenset(p.votes),
                    p.proposed,
                    p.proposed_at,
                    p.leader_ballot,
                    p.lease_ends_at,
                )
                for p in self.proposers.values()
            ),
            tuple(self.clock.values()),
            self.rounds,
            self.ticks,
            self.crashes,
            self.lags,
            frozenset(self.network),
        )

    def moves(self):
        found = [("tick", "tick", None)] if self.ticks else []
        if self.ticks and self.lags:
            found += [(f"tick, {name}'s clock stands", "tick", name) for name in self.names]
        if self.rounds:
            found += [(f"{name} tries", "tries", name) for name in self.proposers]
        if self.crashes:
            found += [(f"{name} crashes", "crash", name) for name in self.names]
        return found + [
            (f"{one[0]}>{one[1]} {one[2]}", "deliver", one) for one in sorted(self.network, key=repr)
        ]

    def tick(self, slow):
        self.ticks, self.lags = self.ticks - 1, self.lags - (slow is not None)
        for name in self.names:
            self.clock[name] += name != slow

    def tries(self, name):
        self.rounds -= 1
        proposer = self.proposers[name]
        self.to_all(
            name, proposer.start(max(acceptor.promised_ballot for acceptor in self.acceptors.values()))
        )

    def crash(self, name):
        self.crashes -= 1
        self.acceptors[name] = self.make(self.pace, self.clock[name])
        if name in self.proposers:
            old = self.proposers[name]
            self.proposers[name] = Proposer(name, old.index, 3, self.pace)

    def to_all(self, sender, message):
        for name in self.names:
            if name == sender:
                self.receive(sender, name, message)
            else:
                self.network.add((sender, name, message))

    def deliver(self, one):
        self.receive(*one)
        self.network = {
            (sender, to, message) for sender, to, message in self.network if self.matters(to, message)
        }

    def matters(self, to, message):
        """Whether it can still do anything: others are dropped, which changes nothing and halves the
        states.
        """
        if isinstance(message, (Prepare, Propose)):
            return message.ballot >= self.acceptors[to].promised_ballot
        return message.ballot == self.proposers[to].ballot and self.proposers[to].proposed == isinstance(
            message, Accepted
        )

    def receive(self, sender, to, message):
        now = self.clock[to]
        if isinstance(message, (Prepare, Propose)):
            acceptor = self.acceptors[to]
            answer = (
                acceptor.on_prepare(now, message)
                if isinstance(message, Prepare)
                else acceptor.on_propose(now, message, sender)
            )
            if answer is not None:
                if sender == to:
                    self.receive(to, to, answer)
                else:
                    self.network.add((to, sender, answer))
        elif isinstance(message, Promise):
            if (propose := self.proposers[to].on_promise(now, message, sender)) is not None:
                self.to_all(to, propose)
        elif isinstance(message, Accepted):
            self.proposers[to].on_accepted(now, message, sender)

    def wrong(self):
        holders = [
            name for name, proposer in self.proposers.items() if proposer.holds_lease(self.clock[name])
        ]
        return "two hold the lease" if len(holders) > 1 else ""
