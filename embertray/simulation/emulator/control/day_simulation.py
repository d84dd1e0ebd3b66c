"""Simulates a day of the control plane at the operators' target size, with its writes, restarts and failures.

The day is compressed: all of its events happen in a fraction of a day, which is harsher than the day itself.
"""

from bisect import bisect_right
from dataclasses import dataclass

from embertray.simulation.claims.control import ControlClaims
from embertray.simulation.emulator.engine import NS_PER_SECOND

from .simulation import ControlPlaneSimulation, Settings

DAY_NS = 86_400 * NS_PER_SECOND
# Time until a failed machine is replaced, and until a failed rack or zone is back.
MACHINE_DOWN_NS = 300 * NS_PER_SECOND
RACK_DOWN_NS = 300 * NS_PER_SECOND
ZONE_DOWN_NS = 600 * NS_PER_SECOND
# The least and the most time that a restart takes.
RESTART_DOWN_NS = (3 * NS_PER_SECOND, 15 * NS_PER_SECOND)
# Controllers that a rollout restarts together, and the time over which their restarts are spread.
BATCH_SIZE = 47
BATCH_SPREAD_NS = 10 * NS_PER_SECOND
# One in this many restarts belongs to a batch.
BATCHED_RESTARTS = 3
# Time from the start to the day's first event.
WARM_UP_NS = 30 * NS_PER_SECOND


@dataclass(frozen=True)
class DayPlan:
    """Size and events of a day; the defaults are the operators' target.

    Attributes:
        controllers: Number of subscribers.
        replicas: Number of replicas.
        regions: Number of regions.
        zones: Number of zones, each an equal part of all machines.
        keys: Number of keys.
        value: The least and the greatest size of a value, bytes.
        changes: Writes in the day.
        machines_failing: Machines that fail alone.
        restarts: Restarts of controllers and replicas.
        racks: Rack failures.
        rack_size: Machines of a rack.
        zones_lost: Zone failures.
        regions_apart: Partitions of a region from the others.
        partition_duration: Duration of such a partition, ns.
        compress: By which factor the day is shortened.
        seed: Seed of all random draws.
    """

    controllers: int = 470
    replicas: int = 8
    regions: int = 6
    zones: int = 19
    keys: int = 3_840
    value: tuple = (80, 400)
    changes: int = 1_500
    machines_failing: int = 22
    restarts: int = 830
    racks: int = 1
    rack_size: int = 24
    zones_lost: int = 1
    regions_apart: int = 1
    partition_duration: int = 300 * NS_PER_SECOND
    compress: int = 24
    seed: int = 1

    @property
    def duration(self):
        """Duration of the compressed day, ns."""
        return DAY_NS // self.compress


class TimedClaims(ControlClaims):
    """Also records the time from a write's acknowledgement to its effect at each subscriber.

    Writes that a newer write of the same key superseded before they arrived are not counted.

    Attributes:
        reachable_since: Since when each subscriber can reach a majority, ns.
        delays_while_reachable: Time from acknowledgement to effect at subscribers that were reachable all the
            time, ns.
        delays_after_return: Time from a subscriber's return to the effect, at the other subscribers, ns.
    """

    def __init__(self):
        super().__init__()
        self.reachable_since = {}
        self.delays_while_reachable = []
        self.delays_after_return = []

    def entry_applied(self, now, subscriber, entry):
        """Records that a subscriber applied a write.

        Args:
            now: ns.
            subscriber: Its name.
            entry: The Entry.
        """
        super().entry_applied(now, subscriber, entry)
        at = self._acknowledged_at(entry.revision)
        if at is None:
            return
        since = self.reachable_since.get(subscriber, 0)
        if since <= at:
            self.delays_while_reachable.append(now - at)
        else:
            self.delays_after_return.append(now - since)

    def count_out_of_reach(self, now, subscriber):
        """Records that a subscriber cannot reach a majority now.

        Args:
            now: ns.
            subscriber: Its name.
        """
        super().count_out_of_reach(now, subscriber)
        self.reachable_since[subscriber] = now

    def _acknowledged_at(self, revision):
        position = bisect_right(self.acknowledged, revision - 1, key=lambda write: write.revision)
        if position < len(self.acknowledged) and self.acknowledged[position].revision == revision:
            return self.acknowledged[position].at
        return None


class ControlDay:
    """Simulates the day of a DayPlan.

    Args:
        plan: The DayPlan.

    Attributes:
        claims: The TimedClaims.
        simulation: The ControlPlaneSimulation.
        counts: Number of events by kind.
        partitioned: Machines of the region that is partitioned from the others now.
    """

    def __init__(self, plan):
        self.plan = plan
        settings = Settings(
            seed=plan.seed,
            replicas=plan.replicas,
            subscribers=plan.controllers,
            regions=plan.regions,
            keys=plan.keys,
            value=plan.value,
            write_every=plan.duration // plan.changes,
            initial_keys=plan.keys,
            persistent=True,
        )
        self.claims = TimedClaims()
        self.simulation = ControlPlaneSimulation(settings, self.claims)
        self.rng = self.simulation.random_for("day")
        self.machines = [*self.simulation.replicas.values(), *self.simulation.subscribers.values()]
        self.counts = {}
        self.partitioned = []

    def run(self, warm_up=WARM_UP_NS):
        """Simulates the whole day, and checks the claims that must hold after it.

        Args:
            warm_up: Time before the day's first event, ns.

        Returns:
            The ControlDay itself.
        """
        simulation = self.simulation
        plan = self.plan
        simulation.start()
        simulation.run(warm_up)
        for subscriber in simulation.subscribers.values():
            subscriber.bytes_in = subscriber.bytes_out = subscriber.max_window_bytes = 0
        self._schedule_day(simulation.engine.time)
        simulation.run(plan.duration)
        self._heal_region()
        for machine in self.machines:
            self._bring_up(machine)
        simulation.settle()
        return self

    def _schedule_day(self, start):
        plan = self.plan
        self._schedule_events(start, plan.machines_failing, "machine", self._fail_machine)
        batches = plan.restarts // BATCHED_RESTARTS // BATCH_SIZE
        self._schedule_events(start, plan.restarts - batches * BATCH_SIZE, "restart", self._restart_one)
        self._schedule_events(start, batches, "bunch of restarts", self._restart_batch)
        self._schedule_events(
            start, plan.racks, "rack", lambda: self._fail_together(plan.rack_size, RACK_DOWN_NS)
        )
        zone = len(self.machines) // plan.zones
        self._schedule_events(start, plan.zones_lost, "zone", lambda: self._fail_together(zone, ZONE_DOWN_NS))
        self._schedule_events(start, plan.regions_apart, "region apart", self._partition_region)

    def _schedule_events(self, start, count, name, callback):
        self.counts[name] = count
        engine = self.simulation.engine
        for _ in range(count):
            engine.at(start + self.rng.randrange(self.plan.duration), callback)

    # ---- events

    def _fail_machine(self):
        self._take_down(self.rng.choice(self.machines), MACHINE_DOWN_NS, silent=True)

    def _restart_one(self):
        self._take_down(self.rng.choice(self.machines), self.rng.randint(*RESTART_DOWN_NS), silent=False)

    def _restart_batch(self):
        engine = self.simulation.engine
        for machine in self.rng.sample(list(self.simulation.subscribers.values()), BATCH_SIZE):
            when = engine.time + self.rng.randrange(BATCH_SPREAD_NS)
            engine.at(when, self._take_down, machine, self.rng.randint(*RESTART_DOWN_NS), False)

    def _fail_together(self, count, duration):
        """Fails machines of one rack or zone: neighbours by number within one region."""
        first = self.rng.choice(list(self.simulation.subscribers.values()))
        region = self.simulation.links.region
        nearby = [machine for machine in self.machines if region[machine.name] == region[first.name]]
        begin = self.rng.randrange(max(1, len(nearby) - count))
        for machine in nearby[begin : begin + count]:
            self._take_down(machine, duration, silent=True)

    def _take_down(self, machine, duration, silent):
        if not machine.alive:
            return
        machine.kill(silent)
        self._restart_bounds(machine)
        self.simulation.engine.at(self.simulation.engine.time + duration, self._bring_up, machine)

    def _bring_up(self, machine):
        if not machine.alive:
            machine.start()
            self._restart_bounds(machine)

    def _restart_bounds(self, machine):
        """Restarts the bounds of the subscribers affected; a subscriber is reachable from its start."""
        if machine.name in self.simulation.subscribers:
            self.simulation.restart_bounds(machine.name)
            self.claims.reachable_since[machine.name] = self.simulation.engine.time
        else:
            self.simulation.restart_bounds()

    def _partition_region(self):
        region = self.simulation.links.region
        chosen = self.rng.randrange(self.plan.regions)
        self.partitioned = [name for name in region if region[name] == chosen]
        self.simulation.links.split([name for name in region if region[name] != chosen], self.partitioned)
        self.simulation.restart_bounds()
        self.simulation.engine.at(
            self.simulation.engine.time + self.plan.partition_duration, self._heal_region
        )

    def _heal_region(self):
        partitioned = self.partitioned
        self.partitioned = []
        if not partitioned:
            return
        self.simulation.links.heal()
        self.simulation.restart_bounds()
        for name in partitioned:
            if name in self.simulation.subscribers:
                self.claims.reachable_since[name] = self.simulation.engine.time
