"""Failure detectors that membership is compared with: plain heartbeats and phi accrual.

Each member sends heartbeats to each other; all members are known from the start.
"""

from collections import Counter, deque
from math import erfc, log10, sqrt

from embertray.cluster.membership.events import MemberChanged
from embertray.cluster.membership.member import ALIVE, DEAD, Member, Statement
from embertray.cluster.membership.messages import VERSION, Ping

# Gaps between a member's last heartbeats from which phi is computed.
MAX_GAPS = 100
# Least standard deviation of the gaps, as a part of the period: nearly equal gaps must not make phi jump.
MIN_DEVIATION = 0.1


class HeartbeatDetector:
    """Declares a member dead after `max_silent_periods` without a heartbeat.

    It has the interface of Membership as far as MembershipSimulation needs it.

    Args:
        cluster: The cluster's name.
        name: The local member's name.
        address: Its address.
        wall: Its wall clock, ns; used as its incarnation.
        now: The monotonic clock, ns.
        rng: A random.Random.
        seeds: Addresses, which are also the names, of all members.
        config: The MembershipConfig.

    Attributes:
        gaps: Time between a member's last heartbeats, ns, by its name.
        next_heartbeat_at: When the next heartbeats are due, ns.
        next_check_at: When silent members are looked for next, ns.
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
        """The other members that are not dead."""
        return [m for m in self.members.values() if m.active]

    def next_at(self):
        """When `advance` is due.

        Returns:
            ns.
        """
        return min(self.next_heartbeat_at, self.next_check_at)

    def advance(self, now):
        """Sends heartbeats and checks for silent members, whichever is due.

        Args:
            now: ns.

        Returns:
            (receiver's address, message) pairs to send.
        """
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
        """Handles a heartbeat; a dead member that sends one is alive again.

        Args:
            now: ns.
            address: The sender's address.
            message: The Ping.

        Returns:
            Messages to send: none.
        """
        member = self.members[message.sender.name]
        self.gaps[member.name].append(now - member.last_heard_at)
        member.last_heard_at = now
        if member.state == DEAD:
            self._set_state(member, ALIVE)
        return []


class PhiAccrualDetector(HeartbeatDetector):
    """Declares a member dead once phi exceeds `phi_threshold` (Hayashibara's phi accrual detector).

    Phi is -log10 of the probability that a heartbeat comes this late, if gaps are normally distributed.
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
