"""One backend as a controller knows it: its entry of the list, last reports, capacity and health."""

from .context import REPORTS_KEPT
from .records.backend import BackendSamples, BackendStats
from .slow_start import warm_up_factor
from .units import SECOND

LONG_WINDOW = 8 * SECOND  # ns; some fifty answers of a backend, so that chance evens out
SHORT_WINDOW = 4 * SECOND  # ns; the last reports, for health
SPAN_MIN = SECOND // 4  # ns; a report span under a beat makes no rate
# gauges of a report, the preferred first: busy share of the cores, requests that wait, requests in flight
LOAD_METRICS = ("busy", "waiting", "held")


class BackendState:
    """State of one backend; `capacity` is in average backends, `health` is 1 unless it was ejected.

    Args:
        context: `Context` of the controller.
        handle: `interface.Backend` that stands for it outside.
    """

    def __init__(self, context, handle):
        self.context = context
        self.handle = handle
        self.zone = None
        self.state = None
        self.started = 0
        self.gone_at = None
        self.capacity = 1.0
        self.health = 1.0
        self.health_since = context.now
        self.reports_ignored_until = 0
        self.learning_start = context.now
        self.tie_breaker = context.draw()
        self.samples = BackendSamples(REPORTS_KEPT)

    def update_from_list(self, entry):
        """Takes over what the endpoint list says of it.

        Args:
            entry: `interface.Endpoint`.

        Returns:
            Whether it has just stopped being ready, so that its lines are to be removed.
        """
        now = self.context.now
        if entry.state == "ready" and entry.started > self.started:
            self._reset_after_restart(entry.started)
        stopped_being_ready = entry.state != "ready" and self.state in (None, "ready")
        self.zone = entry.zone
        self.state = entry.state
        self.started = max(entry.started, self.started)
        self.gone_at = (self.gone_at or now) if entry.state == "gone" else None
        return stopped_being_ready

    def _reset_after_restart(self, started):
        """What was learnt of its former run does not count, nor what it does while it warms up."""
        self.health = 1.0
        self.health_since = self.context.now
        self.reports_ignored_until = 0
        self.learning_start = started + self.context.deployment.warm_up_time
        self.samples.clear()

    def add_report(self, report):
        """Keeps a report, unless it began before an ejection.

        Args:
            report: `interface.BackendReport`, the sums of one zone's proxies.
        """
        context = self.context
        context.reported_spans.append(report.span)
        context.reports_include_busy_share = "busy" in report.load or context.reports_include_busy_share
        if context.now - report.span >= self.reports_ignored_until and report.tries > 0:
            loads = [report.load[name] for name in LOAD_METRICS if name in report.load]
            self.samples.add(context.now, report, loads[0] if loads else None)

    def stats(self):
        """What its samples come to now.

        A failed attempt counts as a client time-out in the windows, and as one that just missed its latency
        objective in the newest reports. What it did cold or ejected does not count for its capacity.

        Returns:
            `BackendStats`.
        """
        context = self.context
        now = context.now
        slow_reports = 2 * context.observed_report_interval
        long_start = max(now - max(LONG_WINDOW, slow_reports), self.learning_start)
        short_start = now - max(SHORT_WINDOW, slow_reports)
        newest_start = now - context.deployment.report_interval * 3 // 2
        return BackendStats(
            self,
            self._totals(long_start),
            now - long_start,
            self._totals(short_start),
            warm_up_factor(context.deployment, self.started, now),
            self.samples.mean_load(now - LONG_WINDOW),
            self.samples.newest(newest_start, context.latency_objective),
        )

    def _totals(self, start):
        context = self.context
        # spans without any attempt are not reported: the window less one interval is covered at least
        covered = context.now - max(start, context.started_at) - context.observed_report_interval
        return self.samples.totals(start, context.client_timeout, max(SPAN_MIN, covered))

    def set_capacity(self, capacity):
        """Sets the learnt capacity, in average backends."""
        self.capacity = capacity

    def set_health(self, health):
        """Sets the factor on its weight: under 1 while ejected or recovering.

        Reports of the time before an ejection do not count, and what it does between an ejection and its full
        recovery teaches no capacity.
        """
        context = self.context
        deployment = context.deployment
        if health < self.health:
            self.reports_ignored_until = (
                context.now + deployment.report_interval + deployment.channel_delay_max
            )
            self.samples.clear()
        if health != self.health:
            self.health_since = context.now
            self.learning_start = context.now + (deployment.report_interval if health >= 1 else 0)
        self.health = health
