"""Random faults, injected one after the other or in groups."""

from dataclasses import dataclass

from embertray.simulation.emulator.engine import NS_PER_SECOND

# The shortest and the longest duration of a random fault.
MIN_DURATION_NS = 1 * NS_PER_SECOND
MAX_DURATION_NS = 14 * NS_PER_SECOND


@dataclass(frozen=True)
class Fault:
    """One fault.

    Attributes:
        kind: One of KINDS.
        targets: Names of the processes affected.
        duration: ns.
    """

    kind: str
    targets: tuple
    duration: int


KINDS = (
    "kill replica",
    "vanish replica",
    "stop replica",
    "lose disk",
    "split",
    "one way",
    "cut subscriber",
    "kill subscriber",
    "stop subscriber",
)


def draw_faults(
    rng, simulation, count, kinds=KINDS, min_duration=MIN_DURATION_NS, max_duration=MAX_DURATION_NS
):
    """Draws random faults on the processes of a simulation.

    Args:
        rng: A random.Random.
        simulation: The ControlPlaneSimulation.
        count: Number of faults.
        kinds: Kinds to draw from, of KINDS.
        min_duration: The shortest duration of a fault, ns.
        max_duration: The longest duration of a fault, ns.

    Returns:
        A list of Faults.
    """
    faults = []
    for _ in range(count):
        kind = rng.choice(kinds)
        replicas, subscribers = simulation.replica_names, sorted(simulation.subscribers)
        if kind == "split":
            targets = tuple(rng.sample(replicas, rng.randint(1, len(replicas) - 1)))
            targets += tuple(rng.sample(subscribers, len(subscribers) // 2))
        elif kind == "one way":
            targets = tuple(rng.sample(replicas + subscribers, 2))
        elif kind == "cut subscriber":
            targets = (rng.choice(subscribers), rng.choice(replicas))
        elif kind.endswith("subscriber"):
            targets = (rng.choice(subscribers),)
        else:
            targets = (rng.choice(replicas),)
        faults.append(Fault(kind, targets, rng.randrange(min_duration, max_duration)))
    return faults


def inject_fault(simulation, fault):
    """Begins a fault now; `ControlPlaneSimulation.heal` ends it.

    Args:
        simulation: The ControlPlaneSimulation.
        fault: The Fault.
    """
    first = fault.targets[0]
    simulation.restart_bounds(*([first] if fault.kind.endswith(" subscriber") else []))
    process = simulation.replicas.get(first) or simulation.subscribers[first]
    if fault.kind in ("kill replica", "kill subscriber"):
        process.kill()
    elif fault.kind == "vanish replica":
        process.kill(silent=True)
    elif fault.kind == "lose disk":
        process.kill()
        if all(
            replica.alive and not replica.core.recovering
            for replica in simulation.replicas.values()
            if replica is not process
        ):
            process.lose_disk()
    elif fault.kind in ("stop replica", "stop subscriber"):
        process.stop()
    elif fault.kind == "split":
        others = [
            name for name in (*simulation.replicas, *simulation.subscribers) if name not in fault.targets
        ]
        simulation.links.split(others, fault.targets)
    elif fault.kind == "one way":
        simulation.links.close(*fault.targets)
    else:
        simulation.links.close(first, fault.targets[1])
        simulation.links.close(fault.targets[1], first)


def play_faults(simulation, faults, pause, group_size=1):
    """Injects faults in groups, and heals everything after each group.

    Args:
        simulation: The ControlPlaneSimulation.
        faults: The Faults.
        pause: Time without faults after each group, ns.
        group_size: Number of faults in a group.
    """
    for start in range(0, len(faults), group_size):
        group = faults[start : start + group_size]
        for fault in group:
            inject_fault(simulation, fault)
            simulation.run(fault.duration // len(group))
        simulation.heal()
        simulation.run(pause)
