"""One member's limits: acceptor, proposer, leader's ledger while it leads, and holder. Hand in the time and
what came; nothing here waits.
"""

from .holder import Holder
from .lease import Acceptor, Proposer
from .ledger import Ledger
from .memory import Memory
from .messages import Accepted, Ask, Grant, Prepare, Promise, Propose, Recall, Recalled
from .pace import Pace


class Limits:
    """`names`: all members that the site names, this one too. `totals`: limit -> units. `chance`: a seeded
    random.Random; `life`: as in the cluster, later in each life; `first`: no member has run before. `advance`
    and `receive` give [(to, message)]; read `holder`."""

    def __init__(self, me, names, totals, now, chance, pace=Pace(), first=False, life=0):
        self.me, self.names, self.pace, self.chance = me, sorted(names), pace, chance
        floors = {limit: int(total * pace.floor) // len(self.names) for limit, total in totals.items()}
        self.pools = {limit: total - floors[limit] * len(self.names) for limit, total in totals.items()}
        self.acceptor = Acceptor(pace, now, first)
        self.proposer = Proposer(me, self.names.index(me), len(self.names), pace)
        self.holder, self.ledger, self.tenure, self.leader, self.seen = (
            Holder(me, floors, pace, life),
            None,
            0,
            None,
            0,
        )
        self.memory, self.ask_at, self.try_at = (
            Memory(me, len(self.names), first),
            now + chance.randrange(pace.period),
            now + chance.randrange(pace.period),
        )
        self.leader_heard_at = now  # when a leader was last heard of

    def next_at(self):
        return min(self.ask_at, self.try_at)

    def leads(self, now):
        return self.proposer.holds(now)

    def to_all(self, message):
        return [(name, message) for name in self.names if name != self.me]

    def advance(self, now):
        out = []
        if self.ledger is not None and not self.leads(now):
            self.ledger = None  # our lease has ended: nothing more is lent
        if now >= self.try_at:
            self.try_at = now + self.pace.period
            # who leads renews; another tries once nobody was heard of for long, each after a time of chance
            if not self.memory.whole:
                out += self.to_all(Recall())
            elif self.leads(now) or now - self.leader_heard_at > self.pace.term // 2:
                self.try_at += 0 if self.leads(now) else self.chance.randrange(self.pace.term // 2)
                out += self.both(now, self.proposer.start(max(self.seen, self.acceptor.promised)))
        if now >= self.ask_at:
            self.ask_at = now + self.pace.period
            ask = self.holder.ask(now, self.tenure, self.leads(now))
            self.memory.put(self.me, ask)
            out += self.to_all(ask)
            if self.ledger is not None:
                self.asked(now, self.me, ask)
        return out

    def both(self, now, message):
        """To all others, and to our own acceptor."""
        return self.to_all(message) + self.receive(now, self.me, message)

    def receive(self, now, sender, message):
        out = []
        if isinstance(message, (Prepare, Propose)):
            self.seen = max(self.seen, message.ballot)
            answer = (
                self.acceptor.on_prepare(now, message)
                if isinstance(message, Prepare)
                else self.acceptor.on_propose(now, message, sender)
            )
            if answer is not None:
                out += self.receive(now, self.me, answer) if sender == self.me else [(sender, answer)]
        elif isinstance(message, Promise):
            if (propose := self.proposer.on_promise(now, message, sender)) is not None:
                out += self.both(now, propose)
        elif isinstance(message, Accepted):
            if self.proposer.on_accepted(now, message, sender):
                self.elected(now)
        elif isinstance(message, Ask):
            out += self.asked(now, sender, message)
        elif isinstance(message, Grant):
            self.holder.granted(now, message, self.tenure)
        elif isinstance(message, Recall):
            out.append((sender, Recalled(self.memory.told())))
        elif isinstance(message, Recalled):
            self.memory.recalled(sender, message.asks)
        return out

    def elected(self, now):
        if self.ledger is None or self.tenure != self.proposer.tenure:
            self.tenure, self.leader = self.proposer.tenure, self.me
            self.ledger = Ledger(
                self.names, self.pools, self.holder.floors, self.pace, now, self.memory.told()
            )
        self.leader_heard_at = now

    def asked(self, now, sender, ask):
        """All hear all asks. Grants of a former leader are not taken any more once we know of a later one."""
        if sender != self.me:
            if not self.memory.put(sender, ask):
                return []  # repeated, or overtaken by a later one
            self.holder.heard_from(sender, ask)
            self.seen, self.proposer.known = max(self.seen, ask.ballot), max(self.proposer.known, ask.ballot)
            if ask.leading and ask.ballot >= self.tenure:
                self.tenure, self.leader, self.leader_heard_at = ask.ballot, sender, now
        if self.ledger is None or not self.leads(now) or ask.ballot != self.proposer.tenure:
            return []
        if not self.ledger.asked(now, sender, ask):
            return []
        grant = Grant(ask.seq, ask.ballot, self.ledger.grant(now, sender))
        if sender == self.me:
            self.holder.granted(now, grant, self.tenure)
            return []
        return [(sender, grant)]
