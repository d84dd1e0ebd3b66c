"""Learned weights: each backend's capacity, from what proxies report of it.

Rule: capacity is the served rate times the median latency of all reported
backends over the backend's own latency, each failed attempt counted as a client time-out, relative to the
mean of all reported backends. It moves only when the estimate is more than 20% off, and by at most a quarter
at each solve. Backends without enough reports keep their capacity, which starts at the average of 1.

The latency ratio is bounded and eased, since small differences of latency would fill fast machines and large
ones tell of a queue, not of speed. A reported load that is already further from its peers' median vetoes a
move that would take it further away: latency alone starves slow machines that have time. Harms where loads
are reported wrong.

Inputs: `BackendStats` over the long window. Decides: `BackendState.capacity`, in average backends.
"""

from statistics import median

from .units import SECOND

LEARN_INTERVAL = 2 * SECOND  # ns between two solves: two report intervals
ATTEMPTS_MIN = 8  # reported attempts in the long window; fewer say nothing
CAPACITY_MIN = 0.3  # average backends; one that is hardly heard of has to be heard of again
CAPACITY_MAX = 2.0  # average backends; more and its loss would be too much at once
MOVE_THRESHOLD = 0.20  # share by which an estimate must differ before the capacity moves
MOVE_MAX = 0.25  # share by which it moves at most at one solve
LATENCY_SMOOTHING = 0.15  # of the latency objective, added to both sides of the ratio
LATENCY_RATIO_MAX = 1.4  # either way; beyond it latency tells of a queue
LOAD_TOLERANCE = 0.15  # share off the median load within which a load vetoes nothing


class LearnedWeights:
    """Learns capacities at every solve.

    Args:
        context: `Context` of the controller.
    """

    def __init__(self, context):
        self.context = context

    def learn(self, stats):
        """Moves the capacity of the healthy backends that were heard of enough.

        Args:
            stats: `BackendStats` of all ready backends.
        """
        rows = [row for row in stats if self._has_enough_reports(row)]
        estimates = self._estimates(rows)
        mean = sum(estimates) / (len(rows) or 1) or 1.0
        usual_load = median([row.load for row in rows if row.load is not None] or [0])
        for row, estimate in zip(rows, estimates, strict=True):
            target = min(CAPACITY_MAX, max(CAPACITY_MIN, estimate / mean))
            self._adjust(row, target, usual_load)

    @staticmethod
    def _has_enough_reports(row):
        is_reported = row.long_window.attempts >= ATTEMPTS_MIN and row.span >= LEARN_INTERVAL
        return is_reported and row.backend.health >= 1

    def _estimates(self, rows):
        """Served rate times the eased and bounded latency ratio, for each row."""
        median_latency = median([row.long_window.latency for row in rows] or [0])
        smoothing = LATENCY_SMOOTHING * self.context.latency_objective
        ratios = [
            min(
                LATENCY_RATIO_MAX,
                max(
                    1 / LATENCY_RATIO_MAX,
                    (median_latency + smoothing) / (row.long_window.latency + smoothing),
                ),
            )
            for row in rows
        ]
        return [row.long_window.rate * ratio for row, ratio in zip(rows, ratios, strict=True)]

    @staticmethod
    def _adjust(row, target, usual_load):
        backend = row.backend
        load_off = (row.load or usual_load) - usual_load
        change = target / backend.capacity - 1
        vetoed = load_off * change > 0 and abs(load_off) > LOAD_TOLERANCE * usual_load
        if abs(change) > MOVE_THRESHOLD and not vetoed:
            step = min(1 + MOVE_MAX, max(1 - MOVE_MAX, target / backend.capacity))
            backend.set_capacity(backend.capacity * step)
