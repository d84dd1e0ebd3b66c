"""Detectors to compare with: plain heartbeats, and phi accrual, both from each member to each other. Who is
there is told at the start.
"""

from collections import Counter, deque
from math import erfc, log10, sqrt

from embertray.cluster.membership.events import MemberChanged
from embertray.cluster.membership.member import ALIVE, DEAD, Member, Statement
from embertray.cluster.membership.messages import VERSION, Ping

MAX_GAPS = 100  # gaps between heartbeats that phi goes by
MIN_DEVIATION = 0.1  # of the period: least deviation, against a certainty that chance alone gives


class HeartbeatDetector:
    """Dead after `limit` periods without a heartbeat. The interface of Membership, as far as its
    simulation needs it.
    """

    max_silent_periods = 5.0

    def __init__(self, cluster, name, address, wall, now, rng, seeds, config):
        self.cluster, self.config, self.local = cluster, config, Statement(name, address, wall, 0, ALIVE)
        self.members = {
            other: Member(Statement(other, other, 0, 0, ALIVE), now) for other in seeds if other != name
        }
        self.gaps = {other: deque(maxlen=MAX_GAPS) for other in self.members}
        self.next_heartbeat_at, self.next_check_at = (
            now + rng.randrange(config.probe_period),
            now + config.probe_period,
        )
        self.events, self.rejected, self.ended, self.last_sequence = [], Counter(), "", 0

    @property
    def active_members(self):
        return [m for m in self.members.values() if m.active]

    def next_at(self):
        return min(self.next_heartbeat_at, self.next_check_at)

    def advance(self, now):
        messages = []
        if now >= self.next_heartbeat_at:
            self.next_heartbeat_at += self.config.probe_period
            self.last_sequence += 1
            messages = [
                (m.address, Ping(self.cluster, VERSION, self.local, 0, self.last_sequence, []))
                for m in self.members.values()
            ]
        if now >= self.next_check_at:
            self.next_check_at = now + self.config.probe_period // 5
            for member in self.active_members:
                if self._is_dead(now, member):
                    self._set_state(member, DEAD)
        return messages

    def _is_dead(self, now, member):
        return now - member.last_heard_at > self.max_silent_periods * self.config.probe_period

    def _set_state(self, member, state):
        member.statement = Statement(member.name, member.address, 0, 0, state)
        self.events.append(MemberChanged(member.name, state, member.address))

    def receive(self, now, address, message):
        member = self.members[message.sender.name]
        self.gaps[member.name].append(now - member.last_heard_at)
        member.last_heard_at = now
        if member.state == DEAD:
            self._set_state(member, ALIVE)
        return []


class PhiAccrualDetector(HeartbeatDetector):
    """Dead when, by the gaps seen so far, a heartbeat so late has a chance under 10^-threshold (Hayashibara's
    phi).
    """

    phi_threshold = 8.0

    def _is_dead(self, now, member):
        gaps = self.gaps[member.name]
        if len(gaps) < 5:
            return super()._is_dead(now, member)
        mean = sum(gaps) / len(gaps)
        deviation = max(
            MIN_DEVIATION * self.config.probe_period, sqrt(sum((gap - mean) ** 2 for gap in gaps) / len(gaps))
        )
        probability = 0.5 * erfc((now - member.last_heard_at - mean) / deviation / sqrt(2))
        return probability <= 0 or -log10(probability) > self.phi_threshold
