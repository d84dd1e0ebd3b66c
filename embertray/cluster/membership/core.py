"""The detector: SWIM's probes through helpers and suspicions, Lifeguard's local health, lives for names that
come again.
"""

from collections import Counter

from .config import DEFAULT_CONFIG
from .gossip_queue import GossipQueue
from .health import LocalHealth
from .member import ALIVE, DEAD, LEFT, Statement
from .member_table import MemberTable
from .messages import VERSION, Ack, FullState, Join, Nack, Ping
from .probes import Probe
from .round_robin import ShuffledRoundRobin
from .seeking import Seeking

MAX_REJECTED_ADDRESSES = 2048  # addresses that refusals are counted by


class Membership(Seeking):
    """One process. `wall`: ns by its own wall clock, which makes its life; `chance`: a seeded random.Random.
    Hand in what came (`receive`) and the time (`advance`, at `next_at` at the latest); both give [(address,
    message)] to send. `changes` and `refused` are to be read; `ended` says why this process has to end, if it
    has to."""

    def __init__(self, cluster, name, address, wall, now, chance, seeds=(), config=DEFAULT_CONFIG):
        self.cluster, self.config, self.chance = cluster, config, chance
        self.me, self.members = Statement(name, address, wall, 0, ALIVE), MemberTable()
        self.seeds = [seed for seed in seeds if seed != address]
        self.gossip, self.health, self.probes, self.probe_order, self.reconnect_order, self.sync_order = (
            GossipQueue(),
            LocalHealth(config.max_health_steps),
            {},
            *(ShuffledRoundRobin(chance) for _ in range(3)),
        )
        self.last_sequence, self.events, self.rejected, self.ended = 0, [], Counter(), ""
        self.joined, self.last, self.last_heard_at = not self.seeds, now, now
        self.next_probe_at, self.next_reconnect_at, self.outgoing = (
            now + chance.randrange(config.probe_period),
            now,
            [],
        )

    # ---- what is asked of it

    @property
    def active_members(self):
        """Members that are taken to be there, this one not counted."""
        return [member for member in self.members.values() if member.active]

    def cut_off(self, now):
        """Whether this process believes that it is it who is cut off: others were there, and none was heard
        for as long as it takes to declare one dead."""
        known = [m for m in self.members.values() if m.state != LEFT]
        return (
            bool(known)
            and now - self.last_heard_at
            > self.config.min_suspicion_timeout(len(known) + 1) + 2 * self.config.probe_period
        )

    def state_of(self, name):
        member = self.members.get(name)
        return None if member is None else member.state

    # ---- time

    def next_at(self):
        """When to call `advance` at the latest, ns."""
        times = [self.next_probe_at, self.next_reconnect_at]
        times += [
            probe.until if probe.helped or probe.on_behalf_of else probe.direct_by
            for probe in self.probes.values()
        ]
        times += self.members.deadlines()
        return min(times)

    def advance(self, now):
        if self.ended:
            return []
        self.woke(now)
        self.outgoing = []
        for number, probe in list(self.probes.items()):
            if not probe.on_behalf_of and not probe.helped and now >= probe.direct_by:
                self.request_indirect_probes(now, number, probe)
            if now >= probe.until:
                self.probe_failed(now, number, probe)
        for member in self.members.unsettled():
            if member.suspicion_ends_at is not None and now >= member.suspicion_ends_at:
                ours = self.me.name in member.suspected_by
                (self.apply if ours else self.death_reported)(
                    now, *(() if ours else (member,)), self.statement_about(member, DEAD)
                )
            elif member.state in (DEAD, LEFT) and now - member.state_since > self.config.departed_retention:
                self.members.remove(member.name)
        if now >= self.next_probe_at:
            self.next_probe_at = max(self.next_probe_at + self.config.probe_period, now)
            self.probe(now)
        if now >= self.next_reconnect_at:
            self.next_reconnect_at = now + (
                self.config.reconnect_period if self.joined else self.config.probe_period
            )
            self.reconnect(now)
        return self.outgoing

    def woke(self, now):
        """We may have stood still (stopped, or without a core): what we missed then is no sign against
        others.
        """
        gap, self.last = now - self.last, now
        if gap <= self.config.pause_threshold + self.config.probe_period:
            return
        self.health.degrade(self.config.max_health_steps)
        self.probes.clear()
        self.last_heard_at += gap
        for member in self.members.not_alive.values():
            if member.suspicion_ends_at is not None:
                member.suspicion_ends_at += gap

    # ---- messages

    def receive(self, now, address, message):
        """`address`: whence it came, for the counts of refusals; answers go to the address that the sender
        tells.
        """
        if self.ended:
            return []
        self.woke(now)
        self.outgoing = []
        if message.cluster != self.cluster or message.version != VERSION:
            self.reject("cluster" if message.cluster != self.cluster else "version", address)
            return []
        if message.target_incarnation not in (0, self.me.incarnation):
            self.reject("former life", address)  # a replay, or it does not know yet that we are new
            if message.sender.name != self.me.name:
                self.put(
                    message.sender.address,
                    Ping,
                    message.sender.incarnation,
                    self.next_sequence(),
                    message.sender.name,
                )
            return self.outgoing
        self.joined = (
            self.joined or message.target_incarnation == self.me.incarnation
        )  # this very life is known there
        known = self.members.get(message.sender.name)
        if known is not None and message.sender.incarnation < known.statement.incarnation:
            self.reject("former life", address)
            if not isinstance(
                message, Join
            ):  # an older process of that name, or a replay: told of the younger
                self.put(
                    message.sender.address,
                    Ack,
                    message.sender.incarnation,
                    message.sequence,
                    "",
                    news=[known.statement],
                )
                return self.outgoing
        elif message.sender.name != self.me.name:
            self.apply(now, message.sender)
            self.last_heard_at = now
            self.members[message.sender.name].last_heard_at = now
        self.apply_all(now, message.gossip)
        getattr(self, "on_" + type(message).__name__.lower())(now, message)
        return self.outgoing

    def reject(self, why, address):
        """Counted by address; past so many they share one count: against strangers that come from ever new
        ports.
        """
        known = (why, address) in self.rejected or len(self.rejected) < MAX_REJECTED_ADDRESSES
        self.rejected[why, address if known else "others"] += 1

    def on_ping(self, now, message):
        self.answer(message, Ack, message.sequence)

    def on_ack(self, now, message):
        probe = self.probes.pop(message.sequence, None)
        if probe is None:
            return
        if probe.on_behalf_of:
            asker, number = probe.on_behalf_of
            if asker in self.members:
                self.send(self.members[asker], Ack, number)
        else:
            self.health.improve()

    def on_pingrequest(self, now, message):
        member = self.members.get(message.target.name)
        if member is None or member.statement.incarnation != message.target.incarnation:
            self.apply(now, message.target)
            member = self.members.get(message.target.name)
        if member is not None:
            number = self.next_sequence()
            until = now + self.config.probe_period
            self.probes[number] = Probe(
                member.name,
                member.statement.incarnation,
                until,
                until,
                (message.sender.name, message.sequence),
            )
            self.send(member, Ping, number)
        self.answer(message, Nack, message.sequence)

    def on_nack(self, now, message):
        probe = self.probes.get(message.sequence)
        if probe is not None:
            probe.asked = max(0, probe.asked - 1)

    def on_join(self, now, message):
        """All that is known, in as many messages as it takes; and the latest life of the asker's name."""
        known = self.members.get(message.sender.name)
        remembered = known.statement.incarnation if known is not None else 0
        rows = [self.me]
        for statement in [m.statement for m in self.members.values()] + [None]:
            if statement is None or len(rows) >= 12:
                self.put(
                    message.sender.address,
                    FullState,
                    0,
                    message.sequence,
                    "",
                    news=rows,
                    remembered_incarnation=remembered,
                )
                rows = []
            if statement is not None:
                rows.append(statement)

    def on_fullstate(self, now, message):
        if message.remembered_incarnation > self.me.incarnation:
            if self.joined:
                self.end(f"a younger process has the name {self.me.name}")
                return
            # our clock is behind what peers remember of this name: we are younger all the same
            self.me = Statement(self.me.name, self.me.address, message.remembered_incarnation + 1, 0, ALIVE)
        if not self.joined:
            self.joined = True
            self.gossip.put(self.me)
        if message.sender.name in self.members:
            self.members[message.sender.name].last_heard_at = now

    def end(self, why):
        self.ended, self.probes = why, {}

    def leave(self, now):
        """Tells some members; the process may end once these are sent."""
        self.outgoing = []
        self.me = Statement(
            self.me.name, self.me.address, self.me.incarnation, self.me.refutations, LEFT, self.me.name
        )
        self.gossip.put(self.me)
        names = sorted(m.name for m in self.active_members)
        for name in self.chance.sample(names, min(2 * self.config.indirect_probes, len(names))):
            self.send(self.members[name], Ping, self.next_sequence())
        self.ended = "left"
        return self.outgoing
