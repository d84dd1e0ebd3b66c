"""Queues by themselves, to hold the backend's model and the engine to theory; and two engines to compare.

`wait_of` runs reqs through model.backend.Backend with an event loop of its own; theory: Erlang's C, Pollaczek-Khinchine,
and the fluid limit of the shortest of two queues. Times in the model are whole ns; a mean service here is 1e9 ns.
"""
import heapq
import math

import numpy as np

from ..model.backend import Backend, Shape

S = 10**9


class Engine:
    """A lean event loop: things happen in the order of their times, and those of one time in the order of their
    planning. Raises Stuck after too many events at one instant."""

    MOST_AT_ONCE = 100_000

    def __init__(self):
        self.now, self.heap, self.count, self.done = 0, [], 0, 0

    def at(self, when, what, *args):
        if when < self.now:
            raise ValueError(f"{when} is before now, {self.now}")
        self.count += 1
        heapq.heappush(self.heap, (when, self.count, what, args))

    def run(self, until=None):
        same = 0
        while self.heap and (until is None or self.heap[0][0] <= until):
            when, _, what, args = heapq.heappop(self.heap)
            same = same + 1 if when == self.now else 0
            if same > self.MOST_AT_ONCE:
                raise Stuck(f"{same} events at {when} ns: time stands still")
            self.now = when
            what(*args)
            self.done += 1
        return self.done


class Stuck(RuntimeError):
    pass


class Farm:
    """Backends behind one picker. `pick(backends)` chooses; waits are from arrival to the start of service."""

    def __init__(self, engine, servers, cores, pick, work, rng):
        self.engine, self.pick, self.work, self.rng = engine, pick, work, rng
        self.backends, self.waits, self.sent = [], [], {}
        for n in range(servers):
            be = Backend(str(n), "z", Shape(cores=cores, queue=10**9, cap=10**9))
            be.start(0, cold=False)
            self.backends.append(be)

    def arrive(self, ident):
        be, work = self.pick(self.backends), int(self.work())
        self.sent[ident] = self.engine.now, work
        be.offer(self.engine.now, ident, "req", work, None)
        self.plan(be)

    def plan(self, be):
        when = be.next_at()
        if when is not None:
            self.engine.at(max(when, self.engine.now), self.end, be)

    def end(self, be):
        for ident in be.advance(self.engine.now):
            at, work = self.sent.pop(ident)
            self.waits.append(self.engine.now - at - work)
        if be.queue or be.busy:
            when = be.next_at()
            if when > self.engine.now:
                self.engine.at(when, self.end, be)


def wait_of(servers, cores, load, reqs, rng, service="exp", choices=1):
    """Waits (s, a numpy array) of `reqs` reqs that come by Poisson at `load` of what all can do. service: exp | fixed."""
    engine = Engine()

    def pick(backends):
        drawn = rng.integers(0, len(backends), choices)
        return min((backends[int(n)] for n in drawn), key=lambda be: len(be.queue) + len(be.busy))
    work = (lambda: rng.exponential(S)) if service == "exp" else (lambda: S)
    farm = Farm(engine, servers, cores, pick, work, rng)
    at = 0
    for ident in range(reqs):
        at += int(rng.exponential(S / (load * servers * cores)))
        engine.at(at, farm.arrive, ident)
    engine.run()
    return np.array(farm.waits[reqs // 10:]) / S        # the first tenth warms up


def batch_interval(values, batches=20, sure=3.0):
    """(mean, half width) by means of batches: waits are not independent, batches nearly are."""
    means = np.array([chunk.mean() for chunk in np.array_split(values, batches)])
    return means.mean(), sure * means.std(ddof=1) / math.sqrt(batches)


def erlang_c(cores, load):
    """Mean wait of M/M/c in units of the mean service."""
    offered = load * cores
    below = sum(offered**n / math.factorial(n) for n in range(cores))
    top = offered**cores / math.factorial(cores) / (1 - load)
    return top / (below + top) / (cores * (1 - load))


def fixed_service(load):
    """Mean wait of M/D/1 (Pollaczek-Khinchine)."""
    return load / (2 * (1 - load))


def two_choices(load, choices=2):
    """Mean time in system of many queues with the shortest of d drawn, at the fluid limit, less one service."""
    return sum(load ** ((choices**n - choices) / (choices - 1)) for n in range(1, 40)) - 1
