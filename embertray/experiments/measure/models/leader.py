"""Model of the leader's lease."""

from embertray.cluster.limits.lease import Acceptor, Proposer
from embertray.cluster.limits.messages import Accepted, Prepare, Promise, Propose
from embertray.experiments.measure.explore import clone

from .timing import TickTiming


class LeaderModel:
    """Three acceptors and two proposers of a lease.

    A message stays in flight and may arrive once, repeatedly or never. One clock may miss one tick, which
    is within the drift that the lease allows for; one member may crash and lose its state. Property: two
    proposers never hold the lease at once.
    """

    names = ("a", "b", "c")

    def __init__(self, rounds=2, ticks=5, crashes=1, acceptor=Acceptor, config=TickTiming):
        self.rounds, self.ticks, self.crashes, self.missed_ticks_left, self.acceptor_type, self.config = (
            rounds,
            ticks,
            crashes,
            1,
            acceptor,
            config,
        )
        self.clock = dict.fromkeys(self.names, 10)
        self.acceptors = {name: acceptor(config, 10, True) for name in self.names}
        self.proposers = {name: Proposer(name, n, 3, config) for n, name in enumerate(self.names[:2])}
        self.network = set()

    def copy(self):
        """Returns a copy that can be changed without changing this state."""
        other = clone(self)
        other.acceptors = {name: clone(core) for name, core in self.acceptors.items()}
        other.proposers = {name: clone(core) for name, core in self.proposers.items()}
        other.clock, other.network = self.clock.copy(), self.network.copy()
        return other

    def key(self):
        """Returns a hashable value that is equal for equal states."""
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
            self.missed_ticks_left,
            frozenset(self.network),
        )

    def moves(self):
        """Returns the possible moves: (text, method name, argument)."""
        found = [("tick", "tick", None)] if self.ticks else []
        if self.ticks and self.missed_ticks_left:
            found += [(f"tick, {name}'s clock stops", "tick", name) for name in self.names]
        if self.rounds:
            found += [(f"{name} starts a round", "start_round", name) for name in self.proposers]
        if self.crashes:
            found += [(f"{name} crashes", "crash", name) for name in self.names]
        return found + [
            (f"{envelope[0]}>{envelope[1]} {envelope[2]}", "deliver", envelope)
            for envelope in sorted(self.network, key=repr)
        ]

    def tick(self, slow):
        """Advances all clocks by a tick but that of `slow`, if given."""
        self.ticks, self.missed_ticks_left = self.ticks - 1, self.missed_ticks_left - (slow is not None)
        for name in self.names:
            self.clock[name] += name != slow

    def start_round(self, name):
        """A proposer starts a round with a ballot above all promised ones."""
        self.rounds -= 1
        proposer = self.proposers[name]
        self.broadcast(
            name, proposer.start(max(acceptor.promised_ballot for acceptor in self.acceptors.values()))
        )

    def crash(self, name):
        """A member restarts without its state."""
        self.crashes -= 1
        self.acceptors[name] = self.acceptor_type(self.config, self.clock[name])
        if name in self.proposers:
            old = self.proposers[name]
            self.proposers[name] = Proposer(name, old.index, 3, self.config)

    def broadcast(self, sender, message):
        """Sends a message to all members; the sender receives its own at once."""
        for name in self.names:
            if name == sender:
                self.receive(sender, name, message)
            else:
                self.network.add((sender, name, message))

    def deliver(self, envelope):
        """Delivers a message in flight, and drops those that can no longer have an effect."""
        self.receive(*envelope)
        self.network = {
            (sender, to, message) for sender, to, message in self.network if self.has_effect(to, message)
        }

    def has_effect(self, to, message):
        """Whether a message can still have an effect.

        Dropping the others leaves the reachable outcomes the same and halves the number of states.
        """
        if isinstance(message, (Prepare, Propose)):
            return message.ballot >= self.acceptors[to].promised_ballot
        return message.ballot == self.proposers[to].ballot and self.proposers[to].proposed == isinstance(
            message, Accepted
        )

    def receive(self, sender, to, message):
        """A member handles a message; its answer is put in flight."""
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
                self.broadcast(to, propose)
        elif isinstance(message, Accepted):
            self.proposers[to].on_accepted(now, message, sender)

    def violation(self):
        """Returns the violation of the property, "" if there is none."""
        holders = [
            name for name, proposer in self.proposers.items() if proposer.holds_lease(self.clock[name])
        ]
        return "two hold the lease" if len(holders) > 1 else ""
