"""Measures the decision module under simulated fleets.

The figures are processor time per simulated second, the most expensive step, and memory.
"""

import multiprocessing
import random
import time
from dataclasses import dataclass
from statistics import median

from embertray.common.net.process import resident_memory
from embertray.policy import Controller, interface as i
from embertray.simulation.standins.fleet import Fleet

MS, S = 10**6, 10**9  # ns
STEP_INTERVAL = 100 * MS  # simulated ns between two steps
UPDATE_DELAY = 5 * MS  # simulated ns from a regular step to the extra step that is given a list update
LIST_UPDATES = 5  # extra steps with a list update of each kind
SETTLE = 8  # simulated seconds between the joins and the measurement


@dataclass(frozen=True)
class Load:
    """Which backends are reported on in a second: all, a random one for each proxy, or none if `silent`."""

    name: str
    about: str
    all_backends: bool
    silent: bool
    channel: dict  # settings of the fleet's channel: lines per second, lines that may wait

    def reported_backends(self, fleet, rng):
        """Returns the backends that are reported on in the next second."""
        if self.silent:
            return []
        if self.all_backends:
            return fleet.backends
        return [fleet.backends[rng.randrange(len(fleet.backends))] for _ in fleet.proxies]


AT_TARGET = Load("", "each proxy tells of one request a second, of a backend by chance", False, False, {})
ALL_BACKENDS = Load("-all-heard", "every backend is heard of each second: the worst case", True, False, {})
SILENT = Load("-silent", "nothing is heard of any backend and no request comes", False, True, {})
WHOLE_TABLES = Load(
    "-whole-tables",
    AT_TARGET.about + "; a channel so wide that every table holds the whole list",
    False,
    False,
    {"channel_rate": 10**6, "pending_max": 2 * 10**6},
)


@dataclass(frozen=True)
class Cost:
    """What a fleet of one size costs.

    `cores` is processor seconds per simulated second, `worst_step` the processor seconds of the longest
    step, and `memory` is in bytes. `changed_entry` and `whole_list` are the processor seconds of a step that
    is given one changed entry or the whole list.
    """

    backends: int
    cores: float
    worst_step: float
    memory: int
    steps: int
    changed_entry: float
    whole_list: float


class StepTimer:
    """A factory of decision modules that records the processor seconds of each step."""

    def __init__(self):
        self.steps = []

    def __call__(self, seed, site, now=0):
        """Makes a module whose steps are timed."""
        module = Controller(seed, site, now)
        step = module.step

        def timed_step(now, events):
            began = time.process_time()
            orders = step(now, events)
            self.steps.append(time.process_time() - began)
            return orders

        module.step = timed_step
        return module


def measure(proxies, backends, load, seconds, step_interval=STEP_INTERVAL):
    """Measures one fleet in this process: all proxies join, SETTLE s pass, then `seconds` are measured."""
    before, timer, rng = resident_memory(), StepTimer(), random.Random(1)
    fleet = Fleet(timer, backends, proxies, **load.channel)
    fleet.run(11 * S, step_interval)
    fleet.join(fleet.proxies, lambda _: fleet.backends[:5])
    kind = fleet.deployment.kinds[0]
    for second in range(SETTLE + seconds):
        if second == SETTLE:
            timer.steps.clear()
        for number, backend in enumerate(load.reported_backends(fleet, rng)):
            zone = fleet.zones[number % len(fleet.zones)]
            fleet.pending_events.append(
                i.BackendReport(backend, zone, 10 if load.all_backends else 1, 0, 250 * MS, S, {"waiting": 0})
            )
        if not load.silent:
            fleet.pending_events += [i.ArrivalReport(proxy, kind, 1, 0, S) for proxy in fleet.proxies]
        fleet.run(fleet.now + S, step_interval)
    memory, steps = resident_memory() - before, list(timer.steps)
    return Cost(
        backends,
        sum(steps) / seconds,
        max(steps),
        memory,
        len(steps),
        *cost_of_list_updates(fleet, timer.steps),
    )


def cost_of_list_updates(fleet, steps):
    """Returns the processor seconds of one changed entry and of a whole list, each in a step of its own.

    Each is the median of LIST_UPDATES steps.
    """
    changed, whole_list = [], []
    for number in range(1, LIST_UPDATES + 1):
        for costs, update_kind, backends, state in (
            (changed, "changes", fleet.backends[-number:][:1], "draining"),
            (whole_list, "whole", fleet.backends[:-number], "ready"),
        ):
            fleet.run(fleet.now + S, STEP_INTERVAL)
            steps.clear()
            fleet.change_list(update_kind, backends, state)
            fleet.run(fleet.now + UPDATE_DELAY, UPDATE_DELAY)
            costs.append(sum(steps))
    return [median(changed), median(whole_list)]


def measure_in_subprocess(*arguments):
    """Runs `measure` in a process of its own, so that no size warms up the memory of another."""
    with multiprocessing.get_context("spawn").Pool(1) as pool:
        return pool.apply(measure, arguments)


def run(recording, proxies, sizes, seconds, runs):
    """Measures the module against backends under each load, and saves the slopes."""
    for load in (AT_TARGET, SILENT, ALL_BACKENDS, WHOLE_TABLES):
        costs = [
            measure_in_subprocess(proxies, backends, load, seconds) for _ in range(runs) for backends in sizes
        ]
        note = (
            f"{proxies} proxies; {load.about}; {seconds} simulated s after {SETTLE} s, {runs} runs of "
            f"{costs[0].steps} steps of {STEP_INTERVAL // MS} ms"
        )

        def save(name, unit, value_of, costs=costs, note=note, load=load):
            points = [(cost.backends, value_of(cost)) for cost in costs]
            recording.save(f"{name}-{proxies}{load.name}", unit, "backends", points, note)

        save("decisions-processor", "cores a controller", lambda cost: cost.cores)
        save("decisions-step", "s of processor, worst step", lambda cost: cost.worst_step)
        save("decisions-memory", "bytes a controller", lambda cost: cost.memory)
        if load is AT_TARGET:
            save("change-processor", "s of processor a changed entry", lambda cost: cost.changed_entry)
            save("list-apply-processor", "s of processor a whole list", lambda cost: cost.whole_list)


def run_by_proxies(recording, sizes, backends, seconds, runs):
    """Measures the module against proxies, and saves the slopes."""
    costs = [
        (proxies, measure_in_subprocess(proxies, backends, AT_TARGET, seconds))
        for _ in range(runs)
        for proxies in sizes
    ]
    note = f"{backends} backends; {AT_TARGET.about}; {seconds} simulated s after {SETTLE} s, {runs} runs"
    for name, unit, value_of in (
        ("decisions-processor-by-proxies", "cores a controller", lambda cost: cost.cores),
        ("decisions-memory-by-proxies", "bytes a controller", lambda cost: cost.memory),
    ):
        recording.save(name, unit, "proxies", [(size, value_of(cost)) for size, cost in costs], note)


def run_by_steps(recording, steps_a_second, proxies, backends, seconds):
    """Measures whether the cost comes with the steps or with the module's own interval."""
    costs = [
        (steps, measure_in_subprocess(proxies, backends, SILENT, seconds, S // steps))
        for steps in steps_a_second
    ]
    note = f"{proxies} proxies, {backends} backends; {SILENT.about}; {seconds} simulated s after {SETTLE} s"
    points = [(steps, cost.cores) for steps, cost in costs]
    recording.save("decisions-processor-by-steps", "cores a controller", "steps a second", points, note)
