"""Queueing systems that check the backend model and the engine against theory.

`simulate_waits` runs requests through models.backend.Backend on an Engine of its own. The theory: Erlang's C
formula, the Pollaczek-Khinchine formula, and the fluid limit of the power of two choices. Times of the model
are whole ns; the mean service time is 1e9 ns.
"""

import math

import numpy as np

from embertray.simulation.models.backend import Backend, Shape

from .engine import NS_PER_SECOND, Engine


class BackendFarm:
    """Backends behind one load balancer.

    Args:
        engine: The Engine.
        servers: Number of backends.
        cores: Cores of each.
        pick: A function that chooses one of a list of Backends.
        work: A function that draws a request's work, ns.
        rng: The random generator.
        sharing: Whether the backends share their processors.

    Attributes:
        waits: Time of each request from its arrival to its end beyond its work, ns.
        arrivals: request -> (time of its arrival, its work), ns.
        next_end_at: Backend name -> time of the scheduled end of work, ns, or None.
    """

    def __init__(self, engine, servers, cores, pick, work, rng, sharing=False):
        self.engine = engine
        self.pick = pick
        self.work = work
        self.rng = rng
        self.backends = []
        self.waits = []
        self.arrivals = {}
        self.next_end_at = {}
        for n in range(servers):
            backend = Backend(
                str(n), "z", Shape(cores=cores, queue=10**9, connections_max=10**9, sharing=sharing)
            )
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
    """Simulates Poisson arrivals and returns how long the requests waited.

    Args:
        servers: Number of backends.
        cores: Cores of each.
        load: Utilization, as a part of the capacity of all backends.
        requests: Number of requests; the first tenth is a warm-up and not returned.
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
    """Computes a confidence interval by batch means: waits are correlated, means of batches hardly are.

    Args:
        values: A numpy array.
        batches: Number of batches.
        deviations: Half width of the interval, in standard deviations of the mean.

    Returns:
        (mean, half width).
    """
    means = np.array([chunk.mean() for chunk in np.array_split(values, batches)])
    return means.mean(), deviations * means.std(ddof=1) / math.sqrt(batches)


def erlang_c(cores, load):
    """Mean wait in an M/M/c queue, in units of the mean service time."""
    offered = load * cores
    lower_terms = sum(offered**n / math.factorial(n) for n in range(cores))
    top = offered**cores / math.factorial(cores) / (1 - load)
    return top / (lower_terms + top) / (cores * (1 - load))


def md1_wait(load):
    """Mean wait in an M/D/1 queue (Pollaczek-Khinchine), in units of the service time."""
    return load / (2 * (1 - load))


def processor_sharing_delay(cores, load):
    """Mean time that a request takes beyond its work in an M/G/c queue with processor sharing.

    It is Erlang's C formula for any distribution of the service time (insensitivity).
    """
    return erlang_c(cores, load)


def power_of_choices_wait(load, choices=2):
    """Mean wait in the fluid limit of many queues, if each request joins the shortest of `choices` drawn."""
    return sum(load ** ((choices**n - choices) / (choices - 1)) for n in range(1, 40)) - 1
