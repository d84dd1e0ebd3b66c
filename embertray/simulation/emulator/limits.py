"""Members that hold limits together, and their proxies, under virtual time: the true cores, a web's ways,
clocks that run apart. At every change what all proxies may let in is held against the limit."""

import random

from embertray.cluster.limits import DEFAULT_CONFIG, Limits
from embertray.simulation.models.web import Web

from .engine import NS_PER_SECOND as S, Engine

MS = 10**6
PUSH = 100 * MS  # ns from a member's order to its effect at a proxy
REDIAL = (S // 2, 2 * S)  # ns until a proxy whose stream broke has joined another


class Clock:
    """Runs `rate` times as fast as time, from a beginning of its own."""

    def __init__(self, engine, rate, start):
        self.engine, self.rate, self.start, self.from_ = engine, rate, start, engine.time

    def now(self):
        return self.start + int((self.engine.time - self.from_) * self.rate)


class Member:
    def __init__(self, simulation, name, first):
        self.simulation, self.name, self.alive, self.stopped, self.later = simulation, name, True, False, []
        chance = simulation.chance
        simulation.lives += 1
        self.clock = Clock(
            simulation.engine, 1 + simulation.drift * chance.uniform(-1, 1), chance.randrange(1, 10**6) * S
        )
        self.core = simulation.make(
            name,
            simulation.names,
            {"l": simulation.total},
            self.clock.now(),
            random.Random(f"{simulation.seed} {name} {simulation.lives}"),
            simulation.pace,
            first,
            simulation.lives << 32,
        )
        simulation.engine.at(simulation.engine.time, self.tick)

    def tick(self):
        if not self.alive:
            return
        if not self.stopped:
            now = self.clock.now()
            self.core.quota_holder.demand["l"] = sum(
                self.simulation.wants[proxy] for proxy, home in self.simulation.home.items() if home is self
            )
            self.simulation.send(self, self.core.advance(now))
            self.order()
        self.simulation.engine.after(100 * MS, self.tick)

    def arrive(self, sender, message):
        if not self.alive:
            return
        if self.stopped:
            self.later.append((sender, message))
            return
        self.simulation.send(self, self.core.receive(self.clock.now(), sender, message))
        self.order()

    def order(self):
        for _limit, proxy, units in self.core.quota_holder.quota_updates(self.clock.now()):
            self.simulation.engine.after(PUSH, self.simulation.told, self, proxy, units)

    def do(self, what, *args):
        """What the holder is told; one that stands still learns of it when it goes on."""
        if self.stopped:
            self.later.append((what, args))
        elif self.alive:
            getattr(self.core.quota_holder, what)(*args)

    def go_on(self):
        self.stopped, later, self.later = False, self.later, []
        for what, rest in later:
            if isinstance(rest, tuple):
                self.do(what, *rest)
            else:
                self.arrive(what, rest)


class LimitsSimulation:
    """`total`: units. `over`: the most that all proxies together were allowed beyond it; `used`: share of it,
    by look.
    """

    def __init__(
        self, seed, members, proxies, total=10_000, drift=0.01, pace=DEFAULT_CONFIG, make=Limits, skew=1.0
    ):
        self.engine, self.seed, self.chance, self.pace, self.drift = (
            Engine(S),
            seed,
            random.Random(f"limits {seed}"),
            pace,
            drift,
        )
        self.names, self.total, self.make, self.lives = [f"c{n + 1}" for n in range(members)], total, make, 0
        self.web, self.home, self.parts, self.over, self.over_at, self.used, self.sent = (
            Web(self.names, seed),
            {},
            {},
            0,
            0,
            [],
            0,
        )
        heavy = [
            n % members == 0 for n in range(proxies)
        ]  # those of the first member want `skew` times as much
        each = total / sum(skew if big else 1.0 for big in heavy)
        self.wants = {f"p{n + 1}": int(each * (skew if big else 1.0)) for n, big in enumerate(heavy)}
        self.members = {name: Member(self, name, True) for name in self.names}
        for n in range(proxies):
            self.home[f"p{n + 1}"] = None
            self.join(f"p{n + 1}", self.names[n % members])
        self.engine.after(0, self.look)

    # ---- messages and proxies

    def send(self, member, out):
        self.sent += len(out)
        for to, message in out:
            for late in self.web.way(member.name, to).copies():
                self.engine.after(
                    self.chance.randint(1, 5) * MS + late, self.deliver, member.name, to, message
                )

    def deliver(self, sender, to, message):
        self.members[to].arrive(sender, message)

    def join(self, proxy, name):
        member = self.members[name]
        if not member.alive:
            self.engine.after(self.chance.randint(*REDIAL), self.join, proxy, self.chance.choice(self.names))
            return
        self.home[proxy] = member
        member.do("proxy_joined", proxy)

    def leave(self, proxy):
        """Its stream broke: it joins another after a while, and lets in what it was told until then."""
        member, self.home[proxy] = self.home[proxy], None
        if member is not None:
            member.do("proxy_left", proxy)
        self.engine.after(self.chance.randint(*REDIAL), self.join, proxy, self.chance.choice(self.names))

    def told(self, member, proxy, part):
        if (
            self.home[proxy] is member and member.alive
        ):  # its stream still stands: it acts on it, though the sender stands still now
            self.parts[proxy] = part
            if sum(self.parts.values()) - self.total > self.over:
                self.over, self.over_at = sum(self.parts.values()) - self.total, self.engine.time
            member.do("proxy_acknowledged", "l", proxy, part)

    def look(self):
        self.used.append(sum(self.parts.values()) / self.total)
        self.engine.after(S // 2, self.look)

    # ---- wounds

    def kill(self, name):
        member = self.members[name]
        if member.alive:
            member.alive = False
            for proxy in [proxy for proxy, home in self.home.items() if home is member]:
                self.home[proxy] = None
                self.engine.after(
                    self.chance.randint(*REDIAL), self.join, proxy, self.chance.choice(self.names)
                )

    def up(self, name):
        if not self.members[name].alive:
            self.members[name] = Member(self, name, False)

    def stop(self, name):
        self.members[name].stopped = True

    def go_on(self, name):
        if self.members[name].stopped:
            self.members[name].go_on()

    def run(self, span):
        self.engine.run(self.engine.time + span)
        return self

    def strike(self, lasts):
        """One wound drawn by the seed, and its end `lasts` ns later."""
        draw, after = self.chance, self.engine.after
        some = draw.sample(self.names, draw.randint(1, max(1, len(self.names) // 2)))
        kind = draw.choice(("kill", "stop", "split", "oneway", "lossy", "move"))
        if kind == "kill":
            for name in some:
                self.kill(name)
                after(lasts, self.up, name)
        elif kind == "stop":
            for name in some:
                self.stop(name)
                after(lasts, self.go_on, name)
        elif kind == "move":
            for proxy in draw.sample(sorted(self.home), len(self.home) // 2):
                if self.home[proxy] is not None:
                    self.leave(proxy)
        else:
            pairs = self.web.pairs()
            if kind == "split":
                pairs = self.web.parted([some, [name for name in self.names if name not in some]])
            else:
                pairs = draw.sample(pairs, draw.randint(1, len(pairs)))
            how = {"drop": 0.5} if kind == "lossy" else {"open": False}
            self.web.bend(self.engine.time, pairs, **how)
            after(lasts, self.web.straight, self.engine.time, pairs, tuple(how))
        return kind
