"""A simulated member that holds a part of a fleet-wide limit."""

import random

from .engine import NS_PER_MS, NS_PER_SECOND

# The name of the one limit.
LIMIT = "l"
# Time between two steps of a member's core.
STEP_PERIOD_NS = 100 * NS_PER_MS
# Time from a member's order to its effect at a proxy.
PUSH_DELAY_NS = 100 * NS_PER_MS
# A member's clock begins at a whole second below this.
LATEST_CLOCK_START_S = 10**6


class DriftingClock:
    """A clock that runs fast or slow, from a beginning of its own.

    Args:
        engine: The Engine.
        rate: How much faster than time it runs.
        start: What it shows now, ns.
    """

    def __init__(self, engine, rate, start):
        self.engine = engine
        self.rate = rate
        self.start = start
        self.started_at = engine.time

    def now(self):
        """What the clock shows.

        Returns:
            ns.
        """
        return self.start + int((self.engine.time - self.started_at) * self.rate)


class LimitsMember:
    """One incarnation of a member: the production core of limits, driven by the engine.

    Args:
        simulation: The LimitsSimulation.
        name: The member's name.
        first: Whether the cluster begins with it.

    Attributes:
        core: The Limits.
        clock: Its DriftingClock.
        alive: Whether the process has not been killed.
        paused: Whether the process is stopped; what arrives waits.
    """

    def __init__(self, simulation, name, first):
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
            first,
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
        """Calls the quota holder; a paused process learns of it when it goes on.

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
        """Continues the process: it handles all that arrived meanwhile, in that order."""
        self.paused = False
        deferred = self._deferred
        self._deferred = []
        for call in deferred:
            call()
