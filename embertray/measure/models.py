"""`python -m embertray.measure.models`: the limits' true cores at small size, every order of events: messages lost, repeated, delayed; members
that crash, stand still and wake; clocks that run apart. Prints how many states were looked at, and what was found."""
import time

import click

from ..fleet.limits.holder import Holder
from ..fleet.limits.lease import Acceptor, Proposer
from ..fleet.limits.ledger import Ledger
from ..fleet.limits.messages import Accepted, Ask, Grant, Prepare, Promise, Propose
from .explore import Found, clone, explore


class Ticks:
    """A pace in whole ticks."""
    term, outer, period = 2, 3, 1


class KeeperModel:
    """Three acceptors, two that try to keep. A message stays on its way and may arrive again and again, or never. One clock may stand
    still for one tick (it is slow within the drift), one member may crash and forget all. Property: never two that hold the lease."""

    names = ("a", "b", "c")

    def __init__(self, rounds=2, ticks=5, crashes=1, acceptor=Acceptor, pace=Ticks):
        self.rounds, self.ticks, self.crashes, self.lags, self.make, self.pace = rounds, ticks, crashes, 1, acceptor, pace
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
        return (tuple((a.promised, a.owner, a.until, a.silent_until) for a in self.acceptors.values()),
                tuple((p.round, p.trying, frozenset(p.voices), p.proposed, p.began, p.tenure, p.mine) for p in self.proposers.values()),
                tuple(self.clock.values()), self.rounds, self.ticks, self.crashes, self.lags, frozenset(self.network))

    def moves(self):
        found = [("tick", "tick", None)] if self.ticks else []
        if self.ticks and self.lags:
            found += [(f"tick, {name}'s clock stands", "tick", name) for name in self.names]
        if self.rounds:
            found += [(f"{name} tries", "tries", name) for name in self.proposers]
        if self.crashes:
            found += [(f"{name} crashes", "crash", name) for name in self.names]
        return found + [(f"{one[0]}>{one[1]} {one[2]}", "deliver", one) for one in sorted(self.network, key=repr)]

    def tick(self, slow):
        self.ticks, self.lags = self.ticks - 1, self.lags - (slow is not None)
        for name in self.names:
            self.clock[name] += name != slow

    def tries(self, name):
        self.rounds -= 1
        proposer = self.proposers[name]
        self.to_all(name, proposer.start(max(acceptor.promised for acceptor in self.acceptors.values())))

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
        self.network = {(sender, to, message) for sender, to, message in self.network if self.matters(to, message)}

    def matters(self, to, message):
        """Whether it can still do anything: others are dropped, which changes nothing and halves the states."""
        if isinstance(message, (Prepare, Propose)):
            return message.ballot >= self.acceptors[to].promised
        return message.ballot == self.proposers[to].trying and self.proposers[to].proposed == isinstance(message, Accepted)

    def receive(self, sender, to, message):
        now = self.clock[to]
        if isinstance(message, (Prepare, Propose)):
            acceptor = self.acceptors[to]
            answer = acceptor.on_prepare(now, message) if isinstance(message, Prepare) else acceptor.on_propose(now, message, sender)
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
        holders = [name for name, proposer in self.proposers.items() if proposer.holds(self.clock[name])]
        return "two hold the lease" if len(holders) > 1 else ""


class LoansModel:
    """One keeper, members x and y with a proxy each, a limit of two units, no floors. Asks and grants are lost, repeated, delayed; x may stand
    still and wake, or crash and start anew; its proxy may move to y. Property: the proxies never act on more than two units together."""

    def __init__(self, asks=2, ticks=4, breaks=1, moves=1, holder=Holder, ledger=Ledger, pace=Ticks):
        self.pace, self.make, self.now, self.asks, self.ticks = pace, holder, 10, {"x": asks, "y": asks}, ticks
        self.breaks, self.moving, self.still, self.lives, self.learns = breaks, moves, False, {"x": 1, "y": 1}, []
        self.ledger = ledger(["x", "y"], {"l": 2}, {"l": 0}, pace, 10)
        self.holders = {name: holder(name, {"l": 0}, pace, 1 << 8) for name in "xy"}
        self.home, self.parts, self.network = {"p": "x", "q": "y"}, {"p": 0, "q": 0}, []
        for px, name in self.home.items():
            self.holders[name].joined(px)
        self.holders["x"].wants, self.holders["y"].wants = {"l": 2}, {"l": 2}

    def copy(self):
        other = clone(self)
        other.asks, other.lives, other.learns = self.asks.copy(), self.lives.copy(), self.learns.copy()
        other.home, other.parts, other.network = self.home.copy(), self.parts.copy(), self.network.copy()
        other.holders = {name: clone(one) for name, one in self.holders.items()}
        other.ledger = clone(self.ledger)
        other.ledger.lines = {}
        for name, line in self.ledger.lines.items():
            mine = other.ledger.lines[name] = type(line)()
            mine.ask, mine.at, mine.grants, mine.ghosts = line.ask, line.at, line.grants.copy(), line.ghosts.copy()
        return other

    def key(self):
        lines = tuple((row.ask and (row.ask.life, row.ask.seq), row.at, repr(row.grants), tuple((g[0].seq, g[2]) for g in row.ghosts))
                      for row in self.ledger.lines.values())
        holders = tuple((h.seq, h.applied, h.until, repr((h.loan, h.may, h.sent, h.here, sorted(h.acted), h.away, h.heard, list(h.listed))))
                        for h in self.holders.values())
        return (self.now, tuple(self.asks.values()), self.ticks, self.breaks, self.moving, self.still, repr(self.learns), tuple(self.lives.values()),
                tuple(self.home.values()), tuple(self.parts.values()), frozenset(text for *_, text in self.network), lines, holders)

    def moves(self):
        found = [("tick", "tick")] if self.ticks else []
        awake = [name for name in "xy" if not (self.still and name == "x")]
        found += [(f"{name} asks", "ask", name) for name in awake if self.asks[name]]
        if self.breaks:
            found += [("x stands still", "stop"), ("x crashes and starts", "crash")]
        if self.still:
            found.append(("x wakes", "wake"))
        if self.moving and self.home["p"] == "x":
            found.append(("p moves to y", "move"))
        for n, (to, sender, message, _) in enumerate(self.network):
            if to in ("keeper", *awake):
                found.append((f"{sender}>{to} {type(message).__name__} {message.seq & 255}", "deliver", n))
        for name in awake:
            for limit, px, units in self.holders[name].orders(self.now):
                found.append((f"{name} tells {px} {units}", "push", name))
                break
        return found

    def tick(self):
        self.now, self.ticks = self.now + 1, self.ticks - 1

    def ask(self, name):
        self.asks[name] -= 1
        ask = self.holders[name].ask(self.now, 1, False)
        for to in ("keeper", "y" if name == "x" else "x"):
            self.network.append((to, name, ask, f"{to} {ask!r}"))

    def stop(self):
        self.breaks, self.still = self.breaks - 1, True

    def wake(self):
        self.still = False
        for what, px in self.learns:
            getattr(self.holders["x"], what)(px)
        self.learns = []

    def crash(self):
        self.breaks, self.still, self.learns = self.breaks - 1, False, []
        self.lives["x"] += 1
        self.holders["x"] = self.make("x", {"l": 0}, self.pace, self.lives["x"] << 8)
        self.holders["x"].wants = {"l": 2}
        for px in [px for px, home in self.home.items() if home == "x"]:
            self.holders["x"].joined(px)

    def move(self):
        self.moving, self.home["p"] = self.moving - 1, "y"
        if self.still:
            self.learns.append(("left", "p"))
        else:
            self.holders["x"].left("p")
        self.holders["y"].joined("p")

    def deliver(self, n):
        to, sender, message, _ = self.network[n]
        if to == "keeper":
            if self.ledger.asked(self.now, sender, message):
                grant = Grant(message.seq, 1, self.ledger.grant(self.now, sender))
                self.network.append((sender, "keeper", grant, f"{sender} {grant!r}"))
        elif isinstance(message, Ask):
            self.holders[to].hears(sender, message)
        else:
            self.holders[to].granted(self.now, message, 1)

    def push(self, name):
        """Orders reach their proxies at once, and are answered."""
        for limit, px, units in self.holders[name].orders(self.now):
            self.parts[px] = units
            self.holders[name].acts(limit, px, units)

    def wrong(self):
        return f"proxies act on {sum(self.parts.values())} of 2" if sum(self.parts.values()) > 2 else ""


@click.command()
@click.option("--most", default=2_000_000, show_default=True, help="States of each at most.")
def main(most):
    for model in (KeeperModel(), KeeperModel(rounds=3, ticks=4, crashes=0), LoansModel()):
        began = time.monotonic()
        try:
            states, whole = explore(model, most)
        except Found as found:
            raise click.ClickException(str(found)) from None
        click.echo(f"{type(model).__name__}: {states:,} states, {'all' if whole else 'not all'} looked at, none wrong, {time.monotonic() - began:.0f} s")


if __name__ == "__main__":
    main()
