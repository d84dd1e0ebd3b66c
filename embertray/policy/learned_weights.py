"""Learned weights: estimates the capacity of each backend from the reports of proxies.

Rule: the capacity estimate is the served rate times the ratio of the median latency of all reported backends
to the backend's own latency, with each failed attempt counted as a client timeout, relative to the mean of
all reported backends. The capacity changes only if the estimate differs by more than 20%, and by at most a
quarter per learning round. Backends without enough reports keep their capacity, which starts at the average
of 1.

The latency ratio is smoothed and bounded: small differences of latency would overload fast machines, and
large ones indicate a queue, not speed. A reported load that deviates from the median load of its peers vetoes
a change that would increase the deviation: latency alone starves slow machines that have spare capacity. The
veto does harm where loads are reported wrongly.

Inputs: `BackendStats` over the long window. Output: `BackendState.capacity`, relative to an average backend.
"""

from statistics import median

from .units import SECOND

LEARN_INTERVAL = 2 * SECOND  # ns between two learning rounds: two report intervals
ATTEMPTS_MIN = 8  # in the long window; fewer give no reliable estimate
CAPACITY_MIN = 0.3  # average backends; keeps enough requests on a backend to learn from
CAPACITY_MAX = 2.0  # average backends; limits the capacity lost with one backend
MOVE_THRESHOLD = 0.20  # relative difference of the estimate below which the capacity is kept
MOVE_MAX = 0.25  # maximum relative change per learning round
LATENCY_SMOOTHING = 0.15  # of the latency objective, added to both sides of the ratio
LATENCY_RATIO_MAX = 1.4  # in both directions; a larger ratio indicates a queue
LOAD_TOLERANCE = 0.15  # relative deviation from the median load that vetoes no change


class LearnedWeights:
    """Learns capacities in every learning round.

    Args:
        context: `Context` of the controller.
    """

    def __init__(self, context):
        self.context = context

    def learn(self, stats):
        """Updates the capacity of healthy backends that have enough reports.

        Args:
            stats: `BackendStats` of all ready backends.
        """
        rows = [row for row in stats if self._has_enough_reports(row)]
        estimates = self._estimates(rows)
        mean = sum(estimates) / (len(rows) or 1) or 1.0
        median_load = median([row.load for row in rows if row.load is not None] or [0])
        for row, estimate in zip(rows, estimates, strict=True):
            target = min(CAPACITY_MAX, max(CAPACITY_MIN, estimate / mean))
            self._adjust(row, target, median_load)

    @staticmethod
    def _has_enough_reports(row):
        is_reported = row.long_window.attempts >= ATTEMPTS_MIN and row.span >= LEARN_INTERVAL
        return is_reported and row.backend.health >= 1

    def _estimates(self, rows):
        """Returns the served rate times the smoothed and bounded latency ratio, for each row."""
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
    def _adjust(row, target, median_load):
        backend = row.backend
        load_off = (row.load or median_load) - median_load
        change = target / backend.capacity - 1
        vetoed = load_off * change > 0 and abs(load_off) > LOAD_TOLERANCE * median_load
        if abs(change) > MOVE_THRESHOLD and not vetoed:
            step = min(1 + MOVE_MAX, max(1 - MOVE_MAX, target / backend.capacity))
            backend.set_capacity(backend.capacity * step)
