"""A simulated member that holds a quota of a fleet-wide limit."""

import random

from .engine import NS_PER_MS, NS_PER_SECOND

# The name of the one limit.
LIMIT = "l"
# Time between two steps of a member's core.
STEP_PERIOD_NS = 100 * NS_PER_MS
# Time until a quota that a member sends takes effect at a proxy.
PUSH_DELAY_NS = 100 * NS_PER_MS
# Upper bound of the initial value of a member's clock, seconds.
LATEST_CLOCK_START_S = 10**6


class DriftingClock:
    """A clock with an offset and a drift from simulated time.

    Args:
        engine: The Engine.
        rate: Its speed, as a multiple of simulated time.
        start: Its initial value, ns.
    """

    def __init__(self, engine, rate, start):
        self.engine = engine
        self.rate = rate
        self.start = start
        self.started_at = engine.time

    def now(self):
        """The clock's value.

        Returns:
            ns.
        """
        return self.start + int((self.engine.time - self.started_at) * self.rate)


class LimitsMember:
    """One incarnation of a member: the production core of limits, driven by the engine.

    Args:
        simulation: The LimitsSimulation.
        name: The member's name.
        new_cluster: Whether it is a member of the new cluster, and not started again.

    Attributes:
        core: The Limits.
        clock: Its DriftingClock.
        alive: Whether the process has not been killed.
        paused: Whether the process is stopped; what arrives is deferred.
    """

    def __init__(self, simulation, name, new_cluster):
        self.simulation = simulation
        self.name = name
        self.alive = True
        self.paused = False
        self._deferred = []  # calls without parameters that arrived while paused
        random_draws = simulation.rng
        simulation.incarnations += 1
        rate = 1 + simulation.drift * random_draws.uniform(-1, 1)
        start = random_draws.randrange(1, LATEST_CLOCK_START_S) * NS_PER_SECOND
        self.clock = DriftingClock(simulation.engine, rate, start)
        self.core = simulation.core_type(
            name,
            simulation.names,
            {LIMIT: simulation.total},
            self.clock.now(),
            random.Random(f"{simulation.seed} {name} {simulation.incarnations}"),
            simulation.config,
            new_cluster,
            simulation.incarnations << 32,
        )
        simulation.engine.at(simulation.engine.time, self._step)

    def _step(self):
        if not self.alive:
            return
        if not self.paused:
            self.core.quota_holder.demand[LIMIT] = self.simulation.demand_of(self)
            self.simulation.send(self, self.core.advance(self.clock.now()))
            self._push_quotas()
        self.simulation.engine.after(STEP_PERIOD_NS, self._step)

    def receive(self, sender, message):
        """Handles another member's message.

        Args:
            sender: That member's name.
            message: The message.
        """
        if not self.alive:
            return
        if self.paused:
            self._deferred.append(lambda: self.receive(sender, message))
            return
        self.simulation.send(self, self.core.receive(self.clock.now(), sender, message))
        self._push_quotas()

    def _push_quotas(self):
        for _limit, proxy, units in self.core.quota_holder.quota_updates(self.clock.now()):
            self.simulation.engine.after(PUSH_DELAY_NS, self.simulation.on_quota, self, proxy, units)

    def notify(self, event, *args):
        """Calls the quota holder; a paused process makes the call when it resumes.

        Args:
            event: The name of a method of the quota holder.
            *args: Its arguments.
        """
        if self.paused:
            self._deferred.append(lambda: self.notify(event, *args))
        elif self.alive:
            getattr(self.core.quota_holder, event)(*args)

    def pause(self):
        """Stops the process, as SIGSTOP does."""
        self.paused = True

    def resume(self):
        """Continues the process: it handles what arrived meanwhile, in the order of arrival."""
        self.paused = False
        deferred = self._deferred
        self._deferred = []
        for call in deferred:
            call()
