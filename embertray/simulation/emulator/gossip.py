"""Members of a cluster under virtual time: the cores that processes run, with links that drop, delay, repeat
and break, one way or both, and members that are stopped, killed and started again. Each message is encoded,
counted and lost as bytes; who gets these bytes unspoilt is handed the message that they stand for, as
decoding them gives the same one (tests/test_scale.py)."""

import random
from collections import Counter

from embertray.cluster.membership import DEFAULT_CONFIG, Membership
from embertray.cluster.membership.messages import UnreadableMessageError, decode, encode

from .engine import NS_PER_SECOND as S, Engine

MS = 10**6
START = 100_000 * S  # clocks may be hours off


class Links:
    """What each ordered pair of addresses does to messages. Shares are from 0 to 1, delays ns."""

    def __init__(self, chance, loss=0.0, delay=(1 * MS, 5 * MS), again=0.0, spoil=0.0):
        self.chance, self.loss, self.delay, self.again, self.spoil = chance, loss, delay, again, spoil
        self.broken, self.sides, self.lag = (
            set(),
            {},
            {},
        )  # (from, to) that carry nothing; address -> side; address -> ns later

    def carries(self, a, b):
        return (a, b) not in self.broken and self.sides.get(a, 0) == self.sides.get(b, 0)

    def ways(self, a, b, data):
        """(delay, bytes) for each copy that arrives."""
        if not self.carries(a, b) or self.chance.random() < self.loss:
            return
        for _ in range(2 if self.chance.random() < self.again else 1):
            if self.chance.random() < self.spoil:
                cut = self.chance.randrange(len(data))
                data = data[:cut] + bytes([data[cut] ^ 0x55]) + data[cut + 1 :] if cut % 2 else data[:cut]
            yield self.chance.randint(*self.delay) + self.lag.get(b, 0), data

    def hold(self, a, b):
        """ns for a part of a stream, or None while the way is silent."""
        return self.chance.randint(*self.delay) if self.carries(a, b) else None

    def split(self, *groups):
        self.sides = {address: n for n, group in enumerate(groups) for address in group}

    def heal(self):
        self.sides, self.broken = {}, set()


class Process:
    """One life of a member: its core, and the time when it is to be called next."""

    def __init__(self, simulation, core):
        self.simulation, self.core, self.stopped, self.alive, self.waiting, self.planned = (
            simulation,
            core,
            False,
            True,
            [],
            None,
        )

    def plan(self):
        when = max(self.core.next_at(), self.simulation.engine.time)
        if (
            self.alive
            and not self.stopped
            and not self.core.ended
            and (self.planned is None or when < self.planned)
        ):
            self.planned = when
            self.simulation.engine.at(when, self.due, when)

    def due(self, when):
        if self.planned == when and self.alive and not self.stopped:
            self.planned = None
            self.simulation.send(self, self.core.advance(when))
            self.simulation.note(self)
            self.plan()

    def arrive(self, address, message):
        """`message`: None if what came could not be read."""
        if not self.alive:
            return
        if self.stopped:
            self.waiting.append((address, message))
            return
        now = self.simulation.engine.time
        if message is None:
            self.simulation.unreadable += 1
            return
        self.simulation.send(self, self.core.receive(now, address, message))
        self.simulation.note(self)
        self.plan()

    def stop(self):
        self.stopped = True

    def go_on(self):
        self.stopped, self.planned, waiting, self.waiting = False, None, self.waiting, []
        for address, message in waiting:
            self.arrive(address, message)
        self.plan()


def readable(data):
    """The message that these bytes stand for, or None."""
    try:
        return decode(data)
    except UnreadableMessageError:
        return None


class MembershipSimulation:
    """All members of one cluster. `notes`: (ns, who, Change) as each took it."""

    def __init__(self, seed=1, pace=DEFAULT_CONFIG, make=Membership, **links):
        self.engine, self.seed, self.pace, self.make = Engine(START), seed, pace, make
        self.links, self.at, self.notes = Links(random.Random(seed), **links), {}, []
        self.bytes, self.sent, self.unreadable, self.lives = Counter(), Counter(), 0, 0

    def up(self, name, seeds=("m0",), address=None, clock=0, cluster="c"):
        """Starts a life; `clock`: how far its wall clock is off, ns."""
        self.lives += 1
        now, address = self.engine.time, address or name
        core = self.make(
            cluster,
            name,
            address,
            now + clock,
            now,
            random.Random(f"{self.seed} {self.lives}"),
            list(seeds),
            self.pace,
        )
        self.at[address] = process = Process(self, core)
        process.plan()
        return process

    def gather(self, count):
        """So many members, one after the other, and time for all to know of all."""
        for n in range(count):
            self.up(f"m{n}", [] if n == 0 else ["m0"])
            self.run(50 * MS)
        self.run(20 * S)
        return self

    def kill(self, address):
        self.at[address].alive = False

    def send(self, process, out):
        here = process.core.local.address
        for address, message in out:
            data = encode(message)
            self.bytes[here] += len(data)
            self.sent[here] += 1
            for delay, arrived in self.links.ways(here, address, data):
                read = message if arrived is data else readable(arrived)
                self.engine.at(self.engine.time + delay, self.arrive, here, address, read)

    def arrive(self, here, address, message):
        if address in self.at:
            self.at[address].arrive(here, message)

    def note(self, process):
        for change in process.core.events:
            self.notes.append((self.engine.time, process.core.local.name, change))
        process.core.events.clear()

    def run(self, span):
        self.engine.run(self.engine.time + span)

    def until(self, wanted, most):
        """ns until `wanted()` holds, looked at every 10 ms; None if it does not within `most`."""
        began = self.engine.time
        while self.engine.time < began + most:
            if wanted():
                return self.engine.time - began
            self.run(10 * MS)
        return None

    def living(self):
        return [p for p in self.at.values() if p.alive and not p.core.ended]

    def agree(self, group=None):
        """Whether each of the living (of `group`'s addresses) takes exactly those for there."""
        living = [p for p in self.living() if group is None or p.core.local.address in group]
        names = {p.core.local.name for p in living}
        return all({m.name for m in p.core.active_members} == names - {p.core.local.name} for p in living)
