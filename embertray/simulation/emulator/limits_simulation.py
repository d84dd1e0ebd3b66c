"""Simulates members that enforce fleet-wide limits, and their proxies, in virtual time.

The cores are the production ones; clocks drift and links break. At every change the sum of all proxies'
quotas is compared with the limit.
"""

import random

from embertray.cluster.limits import DEFAULT_CONFIG, Limits
from embertray.simulation.models.network import Network

from .engine import NS_PER_MS, NS_PER_SECOND, Engine
from .limits_faults import LimitsFaults
from .limits_member import LIMIT, LimitsMember

# The shortest and the longest time until a proxy whose stream broke has joined another member.
REJOIN_DELAY_NS = (NS_PER_SECOND // 2, 2 * NS_PER_SECOND)
# The shortest and the longest delay of a message between members, ms.
MESSAGE_DELAY_MS = (1, 5)
# Time between two records of the limit's utilization.
OBSERVATION_PERIOD_NS = NS_PER_SECOND // 2


class LimitsSimulation(LimitsFaults):
    """Members with one limit, and proxies whose demand together equals the limit.

    Args:
        seed: Seed of all random draws.
        members: Number of members.
        proxies: Number of proxies.
        total: The limit, units.
        drift: The greatest clock drift, as a part of time.
        config: The members' configuration.
        core_type: Type of their core.
        skew: Demand of a proxy of the first member, as a multiple of that of the others.

    Attributes:
        max_excess: The most units by which the sum of all quotas exceeded the limit.
        max_excess_at: When that was, ns.
        utilization: Part of the limit that the quotas allow, at each observation.
        messages_sent: Messages that members have sent.
        joined_member: The LimitsMember that each proxy has joined, or None.
        quotas: Units that each proxy may use.
        demand: Units that each proxy's clients ask for.
    """

    def __init__(
        self,
        seed,
        members,
        proxies,
        total=10_000,
        drift=0.01,
        config=DEFAULT_CONFIG,
        core_type=Limits,
        skew=1.0,
    ):
        self.engine = Engine(NS_PER_SECOND)
        self.seed = seed
        self.rng = random.Random(f"limits {seed}")
        self.config = config
        self.drift = drift
        self.names = [f"c{n + 1}" for n in range(members)]
        self.total = total
        self.core_type = core_type
        self.incarnations = 0
        self.links = Network(self.names, seed)
        self.joined_member = {}
        self.quotas = {}
        self.max_excess = 0
        self.max_excess_at = 0
        self.utilization = []
        self.messages_sent = 0
        self.demand = self._draw_demand(members, proxies, skew)
        self.members = {name: LimitsMember(self, name, True) for name in self.names}
        for n in range(proxies):
            self.joined_member[f"p{n + 1}"] = None
            self._join(f"p{n + 1}", self.names[n % members])
        self.engine.after(0, self._observe)

    def _draw_demand(self, members, proxies, skew):
        """Splits the limit into the demand of each proxy."""
        factors = [skew if n % members == 0 else 1.0 for n in range(proxies)]
        unit = self.total / sum(factors)
        return {f"p{n + 1}": int(unit * factor) for n, factor in enumerate(factors)}

    def run(self, duration):
        """Lets time pass.

        Args:
            duration: ns.

        Returns:
            The simulation itself.
        """
        self.engine.run(self.engine.time + duration)
        return self

    def demand_of(self, member):
        """Units that the clients of a member's proxies ask for.

        Args:
            member: The LimitsMember.

        Returns:
            The sum.
        """
        return sum(self.demand[proxy] for proxy, joined in self.joined_member.items() if joined is member)

    def send(self, member, messages):
        """Sends a member's messages over the links.

        Args:
            member: The LimitsMember that sends them.
            messages: (receiver's name, message) pairs.
        """
        self.messages_sent += len(messages)
        for receiver, message in messages:
            for extra_delay in self.links.link(member.name, receiver).copy_delays():
                delay = self.rng.randint(*MESSAGE_DELAY_MS) * NS_PER_MS + extra_delay
                self.engine.after(delay, self._deliver, member.name, receiver, message)

    def _deliver(self, sender, receiver, message):
        self.members[receiver].receive(sender, message)

    # ---- proxies

    def _join(self, proxy, name):
        member = self.members[name]
        if member.alive:
            self.joined_member[proxy] = member
            member.notify("proxy_joined", proxy)
        else:
            self.rejoin_later(proxy)

    def rejoin_later(self, proxy):
        """Schedules a proxy to join a random member after a random pause.

        Args:
            proxy: Its name.
        """
        # The order of draws determines the run of a seed: the pause is drawn before the member.
        pause = self.rng.randint(*REJOIN_DELAY_NS)
        self.engine.after(pause, self._join, proxy, self.rng.choice(self.names))

    def break_stream(self, proxy):
        """Breaks a proxy's stream: it uses its last quota until it joins a member again.

        Args:
            proxy: Its name.
        """
        member = self.joined_member[proxy]
        self.joined_member[proxy] = None
        if member is not None:
            member.notify("proxy_left", proxy)
        self.rejoin_later(proxy)

    def on_quota(self, member, proxy, units):
        """Applies a quota at a proxy, unless its stream broke meanwhile.

        A quota of a member that has been paused since is applied, since it was sent before.

        Args:
            member: The LimitsMember that sent it.
            proxy: The proxy's name.
            units: What the proxy may use.
        """
        if self.joined_member[proxy] is not member or not member.alive:
            return
        self.quotas[proxy] = units
        excess = sum(self.quotas.values()) - self.total
        if excess > self.max_excess:
            self.max_excess = excess
            self.max_excess_at = self.engine.time
        member.notify("proxy_acknowledged", LIMIT, proxy, units)

    def _observe(self):
        self.utilization.append(sum(self.quotas.values()) / self.total)
        self.engine.after(OBSERVATION_PERIOD_NS, self._observe)
