"""The faults of a day on the members of a cluster under virtual time: the same words, the same claims as true
processes are held against.

Only what strikes controllers and links is played (kill, stall, restart, slow-start, and the links' words):
there is no fleet here.
"""

import random

from embertray.cluster.link.state_exchange import EXCHANGE_TIMEOUT_NS
from embertray.cluster.membership import Membership, MembershipConfig
from embertray.cluster.state import AntiEntropyExchange, EntryStore
from embertray.service.site.site import time as span
from embertray.simulation.claims.cluster import ClusterClaims
from embertray.simulation.models.chance import Streams
from embertray.simulation.models.web import Web
from embertray.simulation.scenarios.faults import Fault
from embertray.simulation.scenarios.words import LINKS

from .collector import rare_collections
from .gossip import Links, MembershipSimulation
from .state_exchanger import StateExchanger

MS, S = 10**6, 10**9
WORDS = {"kill", "stall", "restart", "slow-start", *LINKS} - {"reset"}
START = S // 2  # ns that a process takes to come up
SETTLE = 4 * S  # ns after the day's end, as days have it


class WebLinks(Links):
    """The links of members that are a web's ways."""

    def __init__(self, chance, web):
        super().__init__(chance)
        self.web = web

    def ways(self, a, b, data):
        for late in self.web.way(a, b).copies():
            yield self.chance.randint(*self.delay) + late, data

    def hold(self, a, b):
        """ns for a part of a stream, or None while the way is silent."""
        way = self.web.way(a, b)
        return self.chance.randint(*self.delay) + way.hold() if way.open else None


class ClusterSimulation:
    """`members`: more of them than the day says; `look`: ns between two looks at each. Read `claims`."""

    def __init__(
        self,
        day,
        seed=1,
        members=None,
        make=Membership,
        exchange=AntiEntropyExchange,
        store=EntryStore,
        look=S // 4,
    ):
        self.day, self.seed, self.makes, self.look_every = day, seed, (exchange, store), look
        names = [f"c{n + 1}" for n in range(members or int(day.fleet["controllers"]))]
        period = span(day.fleet["period"])
        self.links = Web(names, seed, ("list", "px"))  # nothing passes on the latter two here
        self.membership = MembershipSimulation(
            seed,
            MembershipConfig.for_period(period),
            make,
        )
        self.membership.links = WebLinks(random.Random(f"{seed} links"), self.links)
        self.engine, self.exchangers, self.chance, self.proxies = (
            self.membership.engine,
            {},
            Streams(seed),
            [],
        )
        self.claims = ClusterClaims(self.links, period, EXCHANGE_TIMEOUT_NS, 50 * MS)
        # what faults ask of a stage, its clock and what it holds
        self.clock, self.held, self.eyes, self.zero = self.engine, self, self, self.engine.time + S

    def note(self, *_):
        pass

    def strike(self, targets, things):
        order = self.chance.of("strike", len(things)).permutation(len(things))
        return [things[k] for t in targets for k in order[: max(1, round(t * len(things)))]]

    # ---- what faults do to members

    async def up(self, name, still=0):
        if name not in self.exchangers:
            self.exchangers[name] = None
            await self.engine.sleep_until(self.engine.time + START + still)
            process = self.membership.up(name, [other for other in self.links.members if other != name])
            self.exchangers[name] = StateExchanger(
                process, lambda: self.exchangers, self.membership.links, self.seed, *self.makes
            )
            self.claims.reachability.process_started(self.engine.time, name)

    async def all_up(self, names, still=0):
        for name in names:
            self.engine.start(self.up(name, still))

    up_slowly = all_up

    def kill(self, name):
        if self.exchangers.get(name) is not None:
            self.membership.kill(name)
            del self.exchangers[name]
            self.claims.reachability.process_ended(self.engine.time, name)

    async def restart(self, name):
        process = self.membership.at.get(name)
        if self.exchangers.get(name) is not None:
            self.membership.send(process, process.core.leave(self.engine.time))
            self.kill(name)
        await self.up(name)

    def freeze(self, name):
        if self.exchangers.get(name) is not None:
            self.membership.at[name].stop()
            self.claims.reachability.process_paused(self.engine.time, name)

    def thaw(self, name):
        if self.exchangers.get(name) is not None and self.membership.at[name].stopped:
            self.membership.at[name].go_on()
            self.claims.reachability.process_resumed(self.engine.time, name)

    # ---- the day

    def look(self):
        now = self.engine.time
        for name, exchanger in self.exchangers.items():
            if exchanger is not None and not exchanger.process.stopped:
                core = exchanger.process.core
                ages = {known.owner: known.age_ns for known in exchanger.store.freshest(now, "facts")}
                self.claims.look(
                    now,
                    name,
                    {m.name: m.state.word for m in core.members.values()},
                    ages,
                    core.cut_off(now),
                )
        self.engine.at(now + self.look_every, self.look)

    def play(self):
        self.engine.start(self.all_up(self.links.members))
        self.engine.at(self.zero, self.look)
        for told in self.day.faults:
            if told.name in WORDS:
                self.engine.start(Fault(self, told).run())
        with rare_collections():
            self.engine.run(self.zero + self.day.lasts + SETTLE)
        return self

    def bytes(self):
        """Bytes a second that a member sent: (probes, state)."""
        span_s, living = (
            (self.engine.time - self.zero) / S,
            [s for s in self.exchangers.values() if s is not None],
        )
        return (
            sum(self.membership.bytes.values()) / span_s / len(self.links.members),
            sum(s.bytes for s in living) / span_s / max(1, len(living)),
        )
