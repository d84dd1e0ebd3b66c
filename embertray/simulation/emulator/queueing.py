"""Queues by themselves, to hold the backend's model and the engine to theory.

`simulate_waits` runs requests through model.backend.Backend with an event loop of its own; theory: Erlang's C,
Pollaczek-Khinchine, and the fluid limit of the shortest of two queues. Times in the model are whole ns; a
mean service here is 1e9 ns.
"""

import math

import numpy as np

from embertray.simulation.models.backend import Backend, Shape

from .engine import NS_PER_SECOND, Engine


class BackendFarm:
    """Backends behind one picker.

    Args:
        engine: The Engine.
        servers: How many backends.
        cores: Cores of each.
        pick: A function that chooses one of a list of Backends.
        work: A function that draws a request's work, ns.
        rng: The random generator.
        sharing: Whether the backends share their processors.

    Attributes:
        waits: ns from each request's arrival to the start of its service.
    """

    def __init__(self, engine, servers, cores, pick, work, rng, sharing=False):
        self.engine = engine
        self.pick = pick
        self.work = work
        self.rng = rng
        self.backends = []
        self.waits = []
        self.arrivals = {}  # request -> (when it came, its work), ns
        self.next_end_at = {}  # backend name -> when its next end is scheduled, ns, or None
        for n in range(servers):
            backend = Backend(str(n), "z", Shape(cores=cores, queue=10**9, cap=10**9, sharing=sharing))
            backend.start(0, cold=False)
            self.backends.append(backend)

    def arrive(self, ident):
        """Handles a new request.

        Args:
            ident: The request.
        """
        backend, work = self.pick(self.backends), int(self.work())
        self.arrivals[ident] = self.engine.time, work
        backend.offer(self.engine.time, ident, "req", work, None)
        self.schedule_end(backend)

    def schedule_end(self, backend):
        """Schedules a backend's next end of work, if it is sooner than the one that is scheduled.

        Args:
            backend: The Backend.
        """
        when = backend.next_at()
        if when is not None and (
            self.next_end_at.get(backend.name) is None or when < self.next_end_at[backend.name]
        ):
            self.next_end_at[backend.name] = when
            self.engine.at(max(when, self.engine.time), self.on_end, backend, when)

    def on_end(self, backend, when):
        """Handles the end of work at a backend.

        Args:
            backend: The Backend.
            when: When it was scheduled, ns; a later plan makes it void.
        """
        if self.next_end_at[backend.name] != when:
            return
        self.next_end_at[backend.name] = None
        for ident in backend.advance(self.engine.time):
            at, work = self.arrivals.pop(ident)
            self.waits.append(self.engine.time - at - work)
        self.schedule_end(backend)


def simulate_waits(servers, cores, load, requests, rng, service="exp", choices=1, sharing=False):
    """Measures the waits of requests that come by Poisson.

    Args:
        servers: How many backends.
        cores: Cores of each.
        load: Part of what all can do.
        requests: How many come.
        rng: The random generator.
        service: "exp" or "fixed".
        choices: Backends drawn for each request; the shortest queue gets it.
        sharing: Whether the backends share their processors; a wait is what a request took beyond its work.

    Returns:
        Waits, seconds, as a numpy array.
    """
    engine = Engine()

    def pick(backends):
        drawn = rng.integers(0, len(backends), choices)
        return min(
            (backends[int(n)] for n in drawn), key=lambda backend: len(backend.queue) + len(backend.busy)
        )

    work = (lambda: rng.exponential(NS_PER_SECOND)) if service == "exp" else (lambda: NS_PER_SECOND)
    farm = BackendFarm(engine, servers, cores, pick, work, rng, sharing)
    at = 0
    for ident in range(requests):
        at += int(rng.exponential(NS_PER_SECOND / (load * servers * cores)))
        engine.at(at, farm.arrive, ident)
    engine.run()
    return np.array(farm.waits[requests // 10 :]) / NS_PER_SECOND  # the first tenth warms up


def batch_confidence_interval(values, batches=20, deviations=3.0):
    """(mean, half width) by means of batches: waits are not independent, batches nearly are."""
    means = np.array([chunk.mean() for chunk in np.array_split(values, batches)])
    return means.mean(), deviations * means.std(ddof=1) / math.sqrt(batches)


def erlang_c(cores, load):
    """Mean wait of M/M/c in units of the mean service."""
    offered = load * cores
    lower_terms = sum(offered**n / math.factorial(n) for n in range(cores))
    top = offered**cores / math.factorial(cores) / (1 - load)
    return top / (lower_terms + top) / (cores * (1 - load))


def md1_wait(load):
    """Mean wait of M/D/1 (Pollaczek-Khinchine)."""
    return load / (2 * (1 - load))


def processor_sharing_delay(cores, load):
    """Mean of what M/G/c with processor sharing takes beyond the work.

    It is Erlang's C for any distribution of the service (insensitivity).
    """
    return erlang_c(cores, load)


def power_of_choices_wait(load, choices=2):
    """Mean wait of many queues with the shortest of those drawn, at the fluid limit."""
    return sum(load ** ((choices**n - choices) / (choices - 1)) for n in range(1, 40)) - 1
