"""Congestion estimate: how long requests wait in the backends' queues, and what the fleet can serve.

Rule: queueing time is the mean latency of the newest reports, less the service time, which is the lowest mean
latency of the last 200 control cycles, or 0.35 of the latency objective if that is less. It counts only once
at least half of the ready backends have reported recently: the first reports after a start cover few, random
backends.

Inputs: `BackendStats` of all ready backends in each control cycle. Output: `FleetState`, on which load
shedding acts, and whether cold backends have to wait (`is_congested`).
"""

from collections import deque

from .records.backend import add_totals
from .records.levels import FleetState

MEANS_KEPT = 200  # mean latencies, one per control cycle
TREND_CYCLES = 9  # the newest mean latency is compared with the oldest of so many
SERVICE_TIME_SHARE_MAX = 0.35  # of the latency objective; latency beyond it is queueing
FALLING_RATIO = 0.9  # of the earlier mean; below it latency is falling
WAIT_LOW = 0.2  # of the latency objective; a shorter wait is no queue
DRAINED_LOAD_RATIO = 0.5  # of the long window's mean load; below it queues have drained


class CongestionEstimate:
    """Estimates queueing from the newest reports.

    Args:
        context: `Context` of the controller.
    """

    def __init__(self, context):
        self.context = context
        self._mean_latencies = deque(maxlen=MEANS_KEPT)  # ns

    def estimate(self, stats):
        """Estimates the state of the fleet in this control cycle.

        Args:
            stats: `BackendStats` of all ready backends.

        Returns:
            `FleetState`.
        """
        attempts = self._newest_attempts(stats)
        queue_wait = self._queue_wait(stats, attempts)
        means = self._mean_latencies
        latency_falling = attempts > 0 and means[-1] < FALLING_RATIO * means[-min(TREND_CYCLES, len(means))]
        load, newest_load = self._loads(stats)
        return FleetState(
            queue_wait=queue_wait,
            latency_falling=latency_falling,
            queues_drained=newest_load < DRAINED_LOAD_RATIO * load,
            busy_share=load if self.context.reports_include_busy_share else 1.0,
            short_window=add_totals(row.short_window for row in stats),
            capacity=sum(row.backend.capacity * row.warm_up_factor for row in stats) or 1.0,
            has_cold=any(row.warm_up_factor < 1 for row in stats),
        )

    def is_congested(self, state, stats):
        """Whether requests queue at warm backends, so that cold ones may have to wait for their lines."""
        is_queueing = state.queue_wait > WAIT_LOW * self.context.latency_objective
        return is_queueing and any(row.warm_up_factor >= 1 for row in stats)

    @staticmethod
    def _newest_attempts(stats):
        """Returns the attempts in the newest reports; 0 unless half of the backends reported recently."""
        reporting = sum(row.short_window.attempts > 0 for row in stats)
        if 2 * reporting < len(stats):
            return 0
        return sum(report.attempts for row in stats for report in row.newest)

    def _queue_wait(self, stats, attempts):
        """Records the newest mean latency, and returns its part spent in queues, ns; 0 without attempts."""
        if not attempts:
            return 0
        mean = sum(report.latency for row in stats for report in row.newest) / attempts
        self._mean_latencies.append(mean)
        service_time = min(SERVICE_TIME_SHARE_MAX * self.context.latency_objective, *self._mean_latencies)
        return mean - service_time

    @staticmethod
    def _loads(stats):
        """Returns the mean reported load of the long window, and of the newest reports."""
        loads = [row.load for row in stats if row.load is not None] or [1.0]
        newest = [report.load for row in stats for report in row.newest if report.load is not None] or loads
        return sum(loads) / len(loads), sum(newest) / len(newest)
