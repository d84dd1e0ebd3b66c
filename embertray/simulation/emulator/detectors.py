"""Detectors to compare with: plain heartbeats, and phi accrual, both from each member to each other. Who is
there is told at the start.
"""

from collections import Counter, deque
from math import erfc, log10, sqrt

from embertray.cluster.membership.member import ALIVE, DEAD, Member, Statement
from embertray.cluster.membership.messages import VERSION, Ping
from embertray.cluster.membership.statements import Change

KEPT = 100  # gaps between heartbeats that phi goes by
SPREAD = 0.1  # of the period: least deviation, against a certainty that chance alone gives


class Heartbeats:
    """Dead after `limit` periods without a heartbeat. The interface of Membership, as far as its
    simulation needs it.
    """

    limit = 5.0

    def __init__(self, cluster, name, address, wall, now, chance, seeds, pace):
        self.cluster, self.pace, self.me = cluster, pace, Statement(name, address, wall, 0, ALIVE)
        self.members = {
            other: Member(Statement(other, other, 0, 0, ALIVE), now) for other in seeds if other != name
        }
        self.gaps = {other: deque(maxlen=KEPT) for other in self.members}
        self.beat_at, self.look_at = now + chance.randrange(pace.period), now + pace.period
        self.changes, self.refused, self.ended, self.number = [], Counter(), "", 0

    @property
    def here(self):
        return [m for m in self.members.values() if m.here]

    def next_at(self):
        return min(self.beat_at, self.look_at)

    def advance(self, now):
        out = []
        if now >= self.beat_at:
            self.beat_at += self.pace.period
            self.number += 1
            out = [
                (m.address, Ping(self.cluster, VERSION, self.me, 0, self.number, []))
                for m in self.members.values()
            ]
        if now >= self.look_at:
            self.look_at = now + self.pace.period // 5
            for member in self.here:
                if self.gone(now, member):
                    self.set(member, DEAD)
        return out

    def gone(self, now, member):
        return now - member.heard > self.limit * self.pace.period

    def set(self, member, state):
        member.statement = Statement(member.name, member.address, 0, 0, state)
        self.changes.append(Change(member.name, state, member.address))

    def receive(self, now, address, message):
        member = self.members[message.sender.name]
        self.gaps[member.name].append(now - member.heard)
        member.heard = now
        if member.state == DEAD:
            self.set(member, ALIVE)
        return []


class Phi(Heartbeats):
    """Dead when, by the gaps seen so far, a heartbeat so late has a chance under 10^-threshold (Hayashibara's
    phi).
    """

    threshold = 8.0

    def gone(self, now, member):
        gaps = self.gaps[member.name]
        if len(gaps) < 5:
            return super().gone(now, member)
        mean = sum(gaps) / len(gaps)
        deviation = max(SPREAD * self.pace.period, sqrt(sum((gap - mean) ** 2 for gap in gaps) / len(gaps)))
        chance = 0.5 * erfc((now - member.heard - mean) / deviation / sqrt(2))
        return chance <= 0 or -log10(chance) > self.threshold
