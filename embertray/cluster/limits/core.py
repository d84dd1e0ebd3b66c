"""One member's limits: acceptor, proposer, leader's ledger while it leads, and holder. Hand in the time and
what came; nothing here waits.
"""

from .config import DEFAULT_CONFIG
from .history import RequestHistory
from .lease import Acceptor, Proposer
from .ledger import Ledger
from .messages import (
    Accepted,
    HistoryReply,
    HistoryRequest,
    Prepare,
    Promise,
    Propose,
    QuotaGrant,
    QuotaRequest,
)
from .quota_holder import QuotaHolder


class Limits:
    """`names`: all members that the site names, this one too. `totals`: limit -> units. `chance`: a seeded
    random.Random; `life`: as in the cluster, later in each life; `first`: no member has run before. `advance`
    and `receive` give [(to, message)]; read `holder`."""

    def __init__(self, me, names, totals, now, chance, config=DEFAULT_CONFIG, first=False, incarnation=0):
        self.me, self.names, self.config, self.chance = me, sorted(names), config, chance
        floors = {
            limit: int(total * config.floor_share) // len(self.names) for limit, total in totals.items()
        }
        self.pools = {limit: total - floors[limit] * len(self.names) for limit, total in totals.items()}
        self.acceptor = Acceptor(config, now, first)
        self.proposer = Proposer(me, self.names.index(me), len(self.names), config)
        self.quota_holder, self.ledger, self.tenure, self.leader, self.highest_ballot = (
            QuotaHolder(me, floors, config, incarnation),
            None,
            0,
            None,
            0,
        )
        self.history, self.next_request_at, self.next_election_at = (
            RequestHistory(me, len(self.names), first),
            now + chance.randrange(config.request_period),
            now + chance.randrange(config.request_period),
        )
        self.leader_heard_at = now  # when a leader was last heard of

    def next_at(self):
        return min(self.next_request_at, self.next_election_at)

    def leads(self, now):
        return self.proposer.holds_lease(now)

    def to_all(self, message):
        return [(name, message) for name in self.names if name != self.me]

    def advance(self, now):
        out = []
        if self.ledger is not None and not self.leads(now):
            self.ledger = None  # our lease has ended: nothing more is lent
        if now >= self.next_election_at:
            self.next_election_at = now + self.config.request_period
            # who leads renews; another tries once nobody was heard of for long, each after a time of chance
            if not self.history.complete:
                out += self.to_all(HistoryRequest())
            elif self.leads(now) or now - self.leader_heard_at > self.config.lease_term // 2:
                self.next_election_at += (
                    0 if self.leads(now) else self.chance.randrange(self.config.lease_term // 2)
                )
                out += self.both(
                    now, self.proposer.start(max(self.highest_ballot, self.acceptor.promised_ballot))
                )
        if now >= self.next_request_at:
            self.next_request_at = now + self.config.request_period
            ask = self.quota_holder.make_request(now, self.tenure, self.leads(now))
            self.history.put(self.me, ask)
            out += self.to_all(ask)
            if self.ledger is not None:
                self.on_request(now, self.me, ask)
        return out

    def both(self, now, message):
        """To all others, and to our own acceptor."""
        return self.to_all(message) + self.receive(now, self.me, message)

    def receive(self, now, sender, message):
        out = []
        if isinstance(message, (Prepare, Propose)):
            self.highest_ballot = max(self.highest_ballot, message.ballot)
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
                self.on_elected(now)
        elif isinstance(message, QuotaRequest):
            out += self.on_request(now, sender, message)
        elif isinstance(message, QuotaGrant):
            self.quota_holder.apply_grant(now, message, self.tenure)
        elif isinstance(message, HistoryRequest):
            out.append((sender, HistoryReply(self.history.requests_by_member())))
        elif isinstance(message, HistoryReply):
            self.history.recalled(sender, message.requests)
        return out

    def on_elected(self, now):
        if self.ledger is None or self.tenure != self.proposer.tenure:
            self.tenure, self.leader = self.proposer.tenure, self.me
            self.ledger = Ledger(
                self.names,
                self.pools,
                self.quota_holder.floors,
                self.config,
                now,
                self.history.requests_by_member(),
            )
        self.leader_heard_at = now

    def on_request(self, now, sender, ask):
        """All hear all asks. Grants of a former leader are not taken any more once we know of a later one."""
        if sender != self.me:
            if not self.history.put(sender, ask):
                return []  # repeated, or overtaken by a later one
            self.quota_holder.heard_from(sender, ask)
            self.highest_ballot, self.proposer.highest_known = (
                max(self.highest_ballot, ask.ballot),
                max(self.proposer.highest_known, ask.ballot),
            )
            if ask.leading and ask.ballot >= self.tenure:
                self.tenure, self.leader, self.leader_heard_at = ask.ballot, sender, now
        if self.ledger is None or not self.leads(now) or ask.ballot != self.proposer.tenure:
            return []
        if not self.ledger.record_request(now, sender, ask):
            return []
        grant = QuotaGrant(ask.sequence, ask.ballot, self.ledger.make_grant(now, sender))
        if sender == self.me:
            self.quota_holder.apply_grant(now, grant, self.tenure)
            return []
        return [(sender, grant)]
