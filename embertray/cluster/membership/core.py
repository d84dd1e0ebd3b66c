"""The detector: SWIM's probes through helpers and suspicions, Lifeguard's local health, lives for names that
come again.
"""

from collections import Counter

from .directory import Directory
from .health import Health
from .member import ALIVE, DEAD, LEFT, Statement
from .messages import VERSION, Ack, All, Join, Nack, Ping
from .pace import Pace
from .probes import Probe, Round
from .rumors import Rumors
from .seeking import Seeking

REFUSERS = 2048  # addresses that refusals are counted by


class Membership(Seeking):
    """One process. `wall`: ns by its own wall clock, which makes its life; `chance`: a seeded random.Random.
    Hand in what came (`receive`) and the time (`advance`, at `next_at` at the latest); both give [(address,
    message)] to send. `changes` and `refused` are to be read; `ended` says why this process has to end, if it
    has to."""

    def __init__(self, cluster, name, address, wall, now, chance, seeds=(), pace=Pace()):  # noqa: B008
        self.cluster, self.pace, self.chance = cluster, pace, chance
        self.me, self.members = Statement(name, address, wall, 0, ALIVE), Directory()
        self.seeds = [seed for seed in seeds if seed != address]
        self.rumors, self.health, self.probes, self.round, self.lost, self.full = (
            Rumors(),
            Health(pace.worst),
            {},
            *(Round(chance) for _ in range(3)),
        )
        self.number, self.changes, self.refused, self.ended = 0, [], Counter(), ""
        self.joined, self.last, self.heard = not self.seeds, now, now
        self.probe_at, self.beckon_at, self.out = now + chance.randrange(pace.period), now, []

    # ---- what is asked of it

    @property
    def here(self):
        """Members that are taken to be there, this one not counted."""
        return [member for member in self.members.values() if member.here]

    def cut_off(self, now):
        """Whether this process believes that it is it who is cut off: others were there, and none was heard
        for as long as it takes to declare one dead."""
        known = [m for m in self.members.values() if m.state != LEFT]
        return bool(known) and now - self.heard > self.pace.least(len(known) + 1) + 2 * self.pace.period

    def state_of(self, name):
        member = self.members.get(name)
        return None if member is None else member.state

    # ---- time

    def next_at(self):
        """When to call `advance` at the latest, ns."""
        times = [self.probe_at, self.beckon_at]
        times += [
            probe.until if probe.helped or probe.for_ else probe.direct_by for probe in self.probes.values()
        ]
        times += self.members.deadlines()
        return min(times)

    def advance(self, now):
        if self.ended:
            return []
        self.woke(now)
        self.out = []
        for number, probe in list(self.probes.items()):
            if not probe.for_ and not probe.helped and now >= probe.direct_by:
                self.ask_helpers(now, number, probe)
            if now >= probe.until:
                self.failed(now, number, probe)
        for member in self.members.unsettled():
            if member.deadline is not None and now >= member.deadline:
                ours = self.me.name in member.doubters
                (self.apply if ours else self.doubted)(
                    now, *(() if ours else (member,)), self.about(member, DEAD)
                )
            elif member.state in (DEAD, LEFT) and now - member.since > self.pace.keep:
                self.members.remove(member.name)
        if now >= self.probe_at:
            self.probe_at = max(self.probe_at + self.pace.period, now)
            self.probe(now)
        if now >= self.beckon_at:
            self.beckon_at = now + (self.pace.beckon if self.joined else self.pace.period)
            self.beckon(now)
        return self.out

    def woke(self, now):
        """We may have stood still (stopped, or without a core): what we missed then is no sign against
        others.
        """
        gap, self.last = now - self.last, now
        if gap <= self.pace.gap + self.pace.period:
            return
        self.health.bad(self.pace.worst)
        self.probes.clear()
        self.heard += gap
        for member in self.members.not_alive.values():
            if member.deadline is not None:
                member.deadline += gap

    # ---- messages

    def receive(self, now, address, message):
        """`address`: whence it came, for the counts of refusals; answers go to the address that the sender
        tells.
        """
        if self.ended:
            return []
        self.woke(now)
        self.out = []
        if message.cluster != self.cluster or message.version != VERSION:
            self.refuse("cluster" if message.cluster != self.cluster else "version", address)
            return []
        if message.to_life not in (0, self.me.life):
            self.refuse("former life", address)  # a replay, or it does not know yet that we are new
            if message.sender.name != self.me.name:
                self.put(
                    message.sender.address, Ping, message.sender.life, self.next_number(), message.sender.name
                )
            return self.out
        self.joined = self.joined or message.to_life == self.me.life  # this very life is known there
        known = self.members.get(message.sender.name)
        if known is not None and message.sender.life < known.statement.life:
            self.refuse("former life", address)
            if not isinstance(
                message, Join
            ):  # an older process of that name, or a replay: told of the younger
                self.put(
                    message.sender.address,
                    Ack,
                    message.sender.life,
                    message.number,
                    "",
                    news=[known.statement],
                )
                return self.out
        elif message.sender.name != self.me.name:
            self.apply(now, message.sender)
            self.heard = now
            self.members[message.sender.name].heard = now
        self.apply_all(now, message.news)
        getattr(self, "on_" + type(message).__name__.lower())(now, message)
        return self.out

    def refuse(self, why, address):
        """Counted by address; past so many they share one count: against strangers that come from ever new
        ports.
        """
        known = (why, address) in self.refused or len(self.refused) < REFUSERS
        self.refused[why, address if known else "others"] += 1

    def on_ping(self, now, message):
        self.answer(message, Ack, message.number)

    def on_ack(self, now, message):
        probe = self.probes.pop(message.number, None)
        if probe is None:
            return
        if probe.for_:
            asker, number = probe.for_
            if asker in self.members:
                self.send(self.members[asker], Ack, number)
        else:
            self.health.good()

    def on_help(self, now, message):
        member = self.members.get(message.about.name)
        if member is None or member.statement.life != message.about.life:
            self.apply(now, message.about)
            member = self.members.get(message.about.name)
        if member is not None:
            number = self.next_number()
            until = now + self.pace.period
            self.probes[number] = Probe(
                member.name, member.statement.life, until, until, (message.sender.name, message.number)
            )
            self.send(member, Ping, number)
        self.answer(message, Nack, message.number)

    def on_nack(self, now, message):
        probe = self.probes.get(message.number)
        if probe is not None:
            probe.asked = max(0, probe.asked - 1)

    def on_join(self, now, message):
        """All that is known, in as many messages as it takes; and the latest life of the asker's name."""
        known = self.members.get(message.sender.name)
        remembered = known.statement.life if known is not None else 0
        rows = [self.me]
        for statement in [m.statement for m in self.members.values()] + [None]:
            if statement is None or len(rows) >= 12:
                self.put(message.sender.address, All, 0, message.number, "", news=rows, remembered=remembered)
                rows = []
            if statement is not None:
                rows.append(statement)

    def on_all(self, now, message):
        if message.remembered > self.me.life:
            if self.joined:
                self.end(f"a younger process has the name {self.me.name}")
                return
            # our clock is behind what peers remember of this name: we are younger all the same
            self.me = Statement(self.me.name, self.me.address, message.remembered + 1, 0, ALIVE)
        if not self.joined:
            self.joined = True
            self.rumors.put(self.me)
        if message.sender.name in self.members:
            self.members[message.sender.name].heard = now

    def end(self, why):
        self.ended, self.probes = why, {}

    def leave(self, now):
        """Tells some members; the process may end once these are sent."""
        self.out = []
        self.me = Statement(self.me.name, self.me.address, self.me.life, self.me.turn, LEFT, self.me.name)
        self.rumors.put(self.me)
        names = sorted(m.name for m in self.here)
        for name in self.chance.sample(names, min(2 * self.pace.helpers, len(names))):
            self.send(self.members[name], Ping, self.next_number())
        self.ended = "left"
        return self.out
