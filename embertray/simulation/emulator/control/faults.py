"""Faults drawn by a seed and played one after the other, or several at a time."""

from dataclasses import dataclass

from embertray.simulation.emulator.engine import NS_PER_SECOND

# The least and the most time that a drawn fault lasts.
LEAST_DURATION_NS = 1 * NS_PER_SECOND
LONGEST_DURATION_NS = 14 * NS_PER_SECOND


@dataclass(frozen=True)
class Fault:
    """One fault.

    Attributes:
        kind: One of KINDS.
        targets: Names of the processes that it strikes.
        lasts: How long, ns.
    """

    kind: str
    targets: tuple
    lasts: int


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


def draw_faults(chance, play, count, kinds=KINDS, least=LEAST_DURATION_NS, most=LONGEST_DURATION_NS):
    """Draws faults among the processes of a play.

    Args:
        chance: A random.Random.
        play: The ControlPlay.
        count: How many.
        kinds: What kinds, of KINDS.
        least: The least time that one lasts, ns.
        most: The most, ns.

    Returns:
        A list of Faults.
    """
    faults = []
    for _ in range(count):
        kind = chance.choice(kinds)
        replicas, subscribers = play.replica_names, sorted(play.subscribers)
        if kind == "split":
            targets = tuple(chance.sample(replicas, chance.randint(1, len(replicas) - 1)))
            targets += tuple(chance.sample(subscribers, len(subscribers) // 2))
        elif kind == "one way":
            targets = tuple(chance.sample(replicas + subscribers, 2))
        elif kind == "cut subscriber":
            targets = (chance.choice(subscribers), chance.choice(replicas))
        elif kind.endswith("subscriber"):
            targets = (chance.choice(subscribers),)
        else:
            targets = (chance.choice(replicas),)
        faults.append(Fault(kind, targets, chance.randrange(least, most)))
    return faults


def strike(play, fault):
    """Makes a fault happen now.

    Args:
        play: The ControlPlay.
        fault: The Fault.
    """
    first = fault.targets[0]
    play.change(*([first] if fault.kind.endswith(" subscriber") else []))
    process = play.replicas.get(first) or play.subscribers[first]
    if fault.kind in ("kill replica", "kill subscriber"):
        process.kill()
    elif fault.kind == "vanish replica":
        process.kill(silent=True)
    elif fault.kind == "lose disk":
        process.kill()
        if all(one.alive and not one.core.recovering for one in play.replicas.values() if one is not process):
            process.lose_disk()
    elif fault.kind in ("stop replica", "stop subscriber"):
        process.stop()
    elif fault.kind == "split":
        others = [name for name in (*play.replicas, *play.subscribers) if name not in fault.targets]
        play.links.split(others, fault.targets)
    elif fault.kind == "one way":
        play.links.close(*fault.targets)
    else:
        play.links.close(first, fault.targets[1])
        play.links.close(fault.targets[1], first)


def play_faults(play, faults, pause, together=1):
    """Plays faults, each group of them followed by a time without any.

    Args:
        play: The ControlPlay.
        faults: The Faults.
        pause: Time without faults after each group, ns.
        together: How many make a group.
    """
    for start in range(0, len(faults), together):
        group = faults[start : start + together]
        for fault in group:
            strike(play, fault)
            play.run(fault.lasts // len(group))
        play.heal()
        play.run(pause)
