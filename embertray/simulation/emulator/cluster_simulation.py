"""Simulates a day's faults on the members of a cluster in virtual time, and checks the cluster's claims.

The faults and claims are those of runs with real processes. Only faults on controllers and links are
injected, since no proxies and backends are simulated.
"""

import random

from embertray.cluster.link.state_exchange import EXCHANGE_TIMEOUT_NS
from embertray.cluster.membership import Membership, MembershipConfig
from embertray.cluster.state import AntiEntropyExchange, EntryStore
from embertray.service.site.values import parse_duration
from embertray.simulation.claims.cluster import ClusterClaims
from embertray.simulation.models.network import Network
from embertray.simulation.models.random_streams import RandomStreams
from embertray.simulation.scenarios.faults import Fault
from embertray.simulation.scenarios.words import LINKS

from .engine import NS_PER_MS, NS_PER_SECOND
from .garbage_collection import rare_collections
from .membership_simulation import MembershipSimulation
from .network_links import NetworkLinks
from .state_exchanger import StateExchanger

# Faults that are injected here; there are no streams that "reset" could end.
FAULTS = {"kill", "stall", "restart", "slow-start", *LINKS} - {"reset"}
# Link ends that days may name besides members; nothing is sent to or from them here.
OTHER_ENDS = ("list", "px")
# Time until a started process runs.
START_TIME_NS = NS_PER_SECOND // 2
# Time from the first member's start to the day's beginning.
WARM_UP_NS = NS_PER_SECOND
# Time that the simulation continues after the day, as in other runs of days.
SETTLE_NS = 4 * NS_PER_SECOND
# Allowance of the claims for the time between an event and its record.
CLAIMS_MARGIN_NS = 50 * NS_PER_MS


class ClusterSimulation:
    """The members of one cluster, with the state that they replicate, and the faults of a day.

    Args:
        day: The Day.
        seed: Seed of all random draws.
        members: Number of members; None: as many as the day has controllers.
        membership_type: Type of the members' membership core.
        exchange_type: Type of their state exchange.
        store_type: Type of their store.
        observation_period: Time between two observations of each member, ns.

    Attributes:
        claims: The ClusterClaims.
        membership: The MembershipSimulation.
        exchangers: StateExchanger by address; None: the process is starting.
        links: The Network.
        clock, controllers, observer, proxies, load_start: As faults expect them of a Stage.
    """

    def __init__(
        self,
        day,
        seed=1,
        members=None,
        membership_type=Membership,
        exchange_type=AntiEntropyExchange,
        store_type=EntryStore,
        observation_period=NS_PER_SECOND // 4,
    ):
        names = [f"c{n + 1}" for n in range(members or int(day.fleet["controllers"]))]
        period = parse_duration(day.fleet["period"])
        self.day = day
        self.seed = seed
        self.state_types = (exchange_type, store_type)
        self.observation_period = observation_period
        self.links = Network(names, seed, OTHER_ENDS)
        self.membership = MembershipSimulation(seed, MembershipConfig.for_period(period), membership_type)
        self.membership.links = NetworkLinks(random.Random(f"{seed} links"), self.links)
        self.engine = self.membership.engine
        self.exchangers = {}
        self.random_streams = RandomStreams(seed)
        self.claims = ClusterClaims(self.links, period, EXCHANGE_TIMEOUT_NS, CLAIMS_MARGIN_NS)
        self.clock = self.engine
        self.controllers = self
        self.observer = self
        self.proxies = []
        self.load_start = self.engine.time + WARM_UP_NS

    def note(self, *_):
        """Drops an event that a fault records, since the claims are notified directly."""

    def select_targets(self, targets, things):
        """Draws the targets of a fault.

        Args:
            targets: Parts of the candidates, 0 to 1.
            things: The candidates.

        Returns:
            The candidates drawn.
        """
        order = self.random_streams.of("strike", len(things)).permutation(len(things))
        return [things[k] for part in targets for k in order[: max(1, round(part * len(things)))]]

    # ---- interface of faults

    async def start_controller(self, name, delay=0):
        """Starts a member's process, unless it runs or is starting.

        Args:
            name: The member's name.
            delay: Additional time of the start, ns.
        """
        if name in self.exchangers:
            return
        self.exchangers[name] = None
        await self.engine.sleep_until(self.engine.time + START_TIME_NS + delay)
        peers = [other for other in self.links.members if other != name]
        self.exchangers[name] = StateExchanger(
            self.membership.start_member(name, peers),
            lambda: self.exchangers,
            self.membership.links,
            self.seed,
            *self.state_types,
        )
        self.claims.reachability.process_started(self.engine.time, name)

    async def start_all(self, names, delay=0):
        """Starts members at the same time.

        Args:
            names: Their names.
            delay: Additional time of each start, ns.
        """
        for name in names:
            self.engine.start(self.start_controller(name, delay))

    start_delayed = start_all

    def kill(self, name):
        """Kills a member's process, if it runs.

        Args:
            name: The member's name.
        """
        if self.exchangers.get(name) is not None:
            self.membership.kill(name)
            del self.exchangers[name]
            self.claims.reachability.process_ended(self.engine.time, name)

    async def restart(self, name):
        """Shuts a member's process down gracefully, if it runs, and starts another.

        Args:
            name: The member's name.
        """
        process = self.membership.processes.get(name)
        if self.exchangers.get(name) is not None:
            self.membership.send(process, process.core.leave(self.engine.time))
            self.kill(name)
        await self.start_controller(name)

    def freeze(self, name):
        """Stops a member's process, if it runs.

        Args:
            name: The member's name.
        """
        if self.exchangers.get(name) is not None:
            self.membership.processes[name].pause()
            self.claims.reachability.process_paused(self.engine.time, name)

    def thaw(self, name):
        """Continues a member's process, if it is stopped.

        Args:
            name: The member's name.
        """
        if self.exchangers.get(name) is not None and self.membership.processes[name].paused:
            self.membership.processes[name].resume()
            self.claims.reachability.process_resumed(self.engine.time, name)

    # ---- the day

    def _observe(self):
        """Reports to the claims each running member's view of the others, and the age of their facts."""
        now = self.engine.time
        for name, exchanger in self.exchangers.items():
            if exchanger is None or exchanger.process.paused:
                continue
            core = exchanger.process.core
            states = {member.name: member.state.label for member in core.members.values()}
            ages = {known.owner: known.age_ns for known in exchanger.store.latest_values(now, "facts")}
            self.claims.check_report(now, name, states, ages, core.cut_off(now))
        self.engine.at(now + self.observation_period, self._observe)

    def play(self):
        """Simulates the day.

        Returns:
            The simulation itself.
        """
        self.engine.start(self.start_all(self.links.members))
        self.engine.at(self.load_start, self._observe)
        for fault in self.day.faults:
            if fault.name in FAULTS:
                self.engine.start(Fault(self, fault).run())
        with rare_collections():
            self.engine.run(self.load_start + self.day.lasts + SETTLE_NS)
        return self

    def mean_traffic(self):
        """Mean traffic of a member since the day began.

        Returns:
            (membership, state), bytes a second.
        """
        seconds = (self.engine.time - self.load_start) / NS_PER_SECOND
        running = [exchanger for exchanger in self.exchangers.values() if exchanger is not None]
        membership = sum(self.membership.bytes_sent.values()) / seconds / len(self.links.members)
        state = sum(exchanger.bytes_sent for exchanger in running) / seconds / max(1, len(running))
        return membership, state
