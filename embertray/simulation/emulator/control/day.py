"""A day of the control plane at the size of a target, with its changes, restarts and failures at the target's
rates, compressed: all of a day's events fall into a part of it, which is harsher than the day.
"""

from bisect import bisect_right
from dataclasses import dataclass

from embertray.simulation.claims.control import ControlClaims

from .play import ControlPlay, Settings

S = 10**9
DAY = 86_400 * S
MACHINE_DOWN = 300 * S  # ns until a failed machine is replaced
RESTART_DOWN = (3 * S, 15 * S)  # ns that a restart takes
RACK_DOWN, ZONE_DOWN = 300 * S, 600 * S
BUNCH = 47  # controllers that a rollout restarts within BUNCH_WITHIN
BUNCH_WITHIN = 10 * S
BUNCHED = 3  # one restart in so many comes in bunches


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
    apart: int = 300 * S
    compress: int = 24
    seed: int = 1

    @property
    def span(self):
        """ns that the play lasts."""
        return DAY // self.compress


class TimedClaims(ControlClaims):
    """Also keeps how long writes took: at subscribers that were within reach all the while, and at others
    from their return. A write that a newer one of its key overtook is not counted."""

    def __init__(self):
        super().__init__()
        self.reached_since = {}
        self.while_reached, self.after_return = [], []

    def applied(self, now, subscriber, entry):
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
        super().out_of_reach(now, subscriber)
        self.reached_since[subscriber] = now

    def _acknowledged_at(self, revision):
        position = bisect_right(self.acknowledged, revision - 1, key=lambda one: one.revision)
        if position < len(self.acknowledged) and self.acknowledged[position].revision == revision:
            return self.acknowledged[position].at
        return None


class ControlDay:
    """Plays a DayPlan."""

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
        self.counts, self.apart = {}, []

    def run(self, warm=30 * S):
        """The whole day, and what has to hold after it."""
        play, plan = self.play, self.plan
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
        bunches = plan.restarts // BUNCHED // BUNCH
        self._spread(start, plan.restarts - bunches * BUNCH, "restart", self._restart_one)
        self._spread(start, bunches, "bunch of restarts", self._restart_bunch)
        self._spread(start, plan.racks, "rack", lambda: self._fail_together(plan.rack, RACK_DOWN))
        zone = len(self.machines) // plan.zones
        self._spread(start, plan.zones_lost, "zone", lambda: self._fail_together(zone, ZONE_DOWN))
        self._spread(start, plan.regions_apart, "region apart", self._part_region)

    def _spread(self, start, count, name, what):
        self.counts[name] = count
        engine = self.play.engine
        for _ in range(count):
            engine.at(start + self.chance.randrange(self.plan.span), what)

    # ---- events

    def _fail_machine(self):
        self._down(self.chance.choice(self.machines), MACHINE_DOWN, silent=True)

    def _restart_one(self):
        self._down(self.chance.choice(self.machines), self.chance.randint(*RESTART_DOWN), silent=False)

    def _restart_bunch(self):
        engine = self.play.engine
        for machine in self.chance.sample(list(self.play.subscribers.values()), BUNCH):
            when = engine.time + self.chance.randrange(BUNCH_WITHIN)
            engine.at(when, self._down, machine, self.chance.randint(*RESTART_DOWN), False)

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
        apart, self.apart = self.apart, []
        if not apart:
            return
        self.play.links.heal()
        self.play.change()
        for name in apart:
            if name in self.play.subscribers:
                self.claims.reached_since[name] = self.play.engine.time
