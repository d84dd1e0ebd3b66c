"""A day of the control plane at the size of the operators' target, with its changes, restarts and failures.

It is compressed: all of a day's events fall into a part of it, which is harsher than the day.
"""

from bisect import bisect_right
from dataclasses import dataclass

from embertray.simulation.claims.control import ControlClaims
from embertray.simulation.emulator.engine import NS_PER_SECOND

from .simulation import ControlPlay, Settings

DAY_NS = 86_400 * NS_PER_SECOND
# Time until a failed machine is replaced, and until a rack and a zone are back.
MACHINE_DOWN_NS = 300 * NS_PER_SECOND
RACK_DOWN_NS = 300 * NS_PER_SECOND
ZONE_DOWN_NS = 600 * NS_PER_SECOND
# The least and the most time that a restart takes.
RESTART_DOWN_NS = (3 * NS_PER_SECOND, 15 * NS_PER_SECOND)
# Controllers that a rollout restarts together, and within which time.
BATCH_SIZE = 47
BATCH_SPREAD_NS = 10 * NS_PER_SECOND
# One restart in so many comes in batches.
BATCHED_RESTARTS = 3
# Time from the start to the day's first event.
WARM_UP_NS = 30 * NS_PER_SECOND


@dataclass(frozen=True)
class DayPlan:
    """What happens in a day; the defaults are the operators' target."""

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
    rack: int = 24
    zones_lost: int = 1
    regions_apart: int = 1
    apart: int = 300 * NS_PER_SECOND  # ns
    compress: int = 24
    seed: int = 1

    @property
    def span(self):
        """The play's duration, ns."""
        return DAY_NS // self.compress


class TimedClaims(ControlClaims):
    """Also records how long writes took.

    A write that a newer one of its key overtook is not counted.

    Attributes:
        reached_since: When each subscriber was last within reach again, ns.
        while_reached: ns from acknowledgement to effect, where the subscriber was within reach meanwhile.
        after_return: ns from a subscriber's return to the effect, for the others.
    """

    def __init__(self):
        super().__init__()
        self.reached_since = {}
        self.while_reached = []
        self.after_return = []

    def applied(self, now, subscriber, entry):
        """Records that a subscriber applied a write.

        Args:
            now: ns.
            subscriber: Its name.
            entry: The Entry.
        """
        super().applied(now, subscriber, entry)
        at = self._acknowledged_at(entry.revision)
        if at is None:
            return
        since = self.reached_since.get(subscriber, 0)
        if since <= at:
            self.while_reached.append(now - at)
        else:
            self.after_return.append(now - since)

    def out_of_reach(self, now, subscriber):
        """Records that a subscriber reaches no majority now.

        Args:
            now: ns.
            subscriber: Its name.
        """
        super().out_of_reach(now, subscriber)
        self.reached_since[subscriber] = now

    def _acknowledged_at(self, revision):
        position = bisect_right(self.acknowledged, revision - 1, key=lambda one: one.revision)
        if position < len(self.acknowledged) and self.acknowledged[position].revision == revision:
            return self.acknowledged[position].at
        return None


class ControlDay:
    """Plays a DayPlan.

    Args:
        plan: The DayPlan.

    Attributes:
        claims: The TimedClaims.
        play: The ControlPlay.
        counts: Events by kind.
        apart: Machines of the region that is cut off now.
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
            write_every=plan.span // plan.changes,
            prefilled=plan.keys,
            keep=True,
        )
        self.claims = TimedClaims()
        self.play = ControlPlay(settings, self.claims)
        self.chance = self.play.draw("day")
        self.machines = [*self.play.replicas.values(), *self.play.subscribers.values()]
        self.counts = {}
        self.apart = []

    def run(self, warm=WARM_UP_NS):
        """Plays the whole day, and checks what has to hold after it.

        Args:
            warm: Time before the day's first event, ns.

        Returns:
            The ControlDay itself.
        """
        play = self.play
        plan = self.plan
        play.start()
        play.run(warm)
        for one in play.subscribers.values():
            one.bytes_in = one.bytes_out = one.worst_window = 0
        self._plan_events(play.engine.time)
        play.run(plan.span)
        self._join_regions()
        for machine in self.machines:
            self._up(machine)
        play.settle()
        return self

    def _plan_events(self, start):
        plan = self.plan
        self._spread(start, plan.machines_failing, "machine", self._fail_machine)
        batches = plan.restarts // BATCHED_RESTARTS // BATCH_SIZE
        self._spread(start, plan.restarts - batches * BATCH_SIZE, "restart", self._restart_one)
        self._spread(start, batches, "bunch of restarts", self._restart_batch)
        self._spread(start, plan.racks, "rack", lambda: self._fail_together(plan.rack, RACK_DOWN_NS))
        zone = len(self.machines) // plan.zones
        self._spread(start, plan.zones_lost, "zone", lambda: self._fail_together(zone, ZONE_DOWN_NS))
        self._spread(start, plan.regions_apart, "region apart", self._part_region)

    def _spread(self, start, count, name, callback):
        self.counts[name] = count
        engine = self.play.engine
        for _ in range(count):
            engine.at(start + self.chance.randrange(self.plan.span), callback)

    # ---- events

    def _fail_machine(self):
        self._down(self.chance.choice(self.machines), MACHINE_DOWN_NS, silent=True)

    def _restart_one(self):
        self._down(self.chance.choice(self.machines), self.chance.randint(*RESTART_DOWN_NS), silent=False)

    def _restart_batch(self):
        engine = self.play.engine
        for machine in self.chance.sample(list(self.play.subscribers.values()), BATCH_SIZE):
            when = engine.time + self.chance.randrange(BATCH_SPREAD_NS)
            engine.at(when, self._down, machine, self.chance.randint(*RESTART_DOWN_NS), False)

    def _fail_together(self, count, lasts):
        """Machines that stand together: neighbours in the order of their numbers in one region."""
        first = self.chance.choice(list(self.play.subscribers.values()))
        region = self.play.links.region
        near = [one for one in self.machines if region[one.name] == region[first.name]]
        begin = self.chance.randrange(max(1, len(near) - count))
        for machine in near[begin : begin + count]:
            self._down(machine, lasts, silent=True)

    def _down(self, machine, lasts, silent):
        if not machine.alive:
            return
        machine.kill(silent)
        self._changed(machine)
        self.play.engine.at(self.play.engine.time + lasts, self._up, machine)

    def _up(self, machine):
        if not machine.alive:
            machine.start()
            self._changed(machine)

    def _changed(self, machine):
        """Bounds count anew for whom it concerns; a subscriber is back when it has started."""
        if machine.name in self.play.subscribers:
            self.play.change(machine.name)
            self.claims.reached_since[machine.name] = self.play.engine.time
        else:
            self.play.change()

    def _part_region(self):
        region = self.play.links.region
        chosen = self.chance.randrange(self.plan.regions)
        self.apart = [name for name in region if region[name] == chosen]
        self.play.links.split([name for name in region if region[name] != chosen], self.apart)
        self.play.change()
        self.play.engine.at(self.play.engine.time + self.plan.apart, self._join_regions)

    def _join_regions(self):
        apart = self.apart
        self.apart = []
        if not apart:
            return
        self.play.links.heal()
        self.play.change()
        for name in apart:
            if name in self.play.subscribers:
                self.claims.reached_since[name] = self.play.engine.time
