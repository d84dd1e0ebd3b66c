"""State of one backend: its endpoint list entry, recent reports, capacity and health."""

from .context import REPORTS_KEPT
from .records.backend import BackendSamples, BackendStats
from .slow_start import warm_up_factor
from .units import SECOND

LONG_WINDOW = 8 * SECOND  # ns; about fifty responses of a backend, enough to average out noise
SHORT_WINDOW = 4 * SECOND  # ns; recent reports, for health
SPAN_MIN = SECOND // 4  # ns; one control cycle; a shorter report span gives no rate
# load metrics in order of preference: busy share of the cores, queued requests, requests in flight
LOAD_METRICS = ("busy", "waiting", "held")


class BackendState:
    """State of one backend.

    `capacity` is relative to an average backend. `health` is 1, or less while ejected or recovering.

    Args:
        context: `Context` of the controller.
        handle: `interface.Backend` by which events and orders refer to it.
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
        """Applies an entry of the endpoint list.

        Args:
            entry: `interface.Endpoint`.

        Returns:
            True if the backend has just stopped being ready, so that its lines are to be removed.
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
        """Resets health and discards the reports from before the restart.

        Reports count towards capacity again once the warm-up time has passed.
        """
        self.health = 1.0
        self.health_since = self.context.now
        self.reports_ignored_until = 0
        self.learning_start = started + self.context.deployment.warm_up_time
        self.samples.clear()

    def add_report(self, report):
        """Stores a report, unless its span began before an ejection took effect.

        Args:
            report: `interface.BackendReport`, totals over the proxies of one zone.
        """
        context = self.context
        context.reported_spans.append(report.span)
        context.reports_include_busy_share = "busy" in report.load or context.reports_include_busy_share
        if context.now - report.span >= self.reports_ignored_until and report.tries > 0:
            loads = [report.load[name] for name in LOAD_METRICS if name in report.load]
            self.samples.add(context.now, report, loads[0] if loads else None)

    def stats(self):
        """Aggregates the samples.

        A failed attempt counts as a client timeout in the windows, and as the latency objective in the newest
        reports. Reports from the warm-up or an ejection do not count towards capacity.

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
        # intervals without attempts are not reported: at least the window less one interval is covered
        covered = context.now - max(start, context.started_at) - context.observed_report_interval
        return self.samples.totals(start, context.client_timeout, max(SPAN_MIN, covered))

    def set_capacity(self, capacity):
        """Sets the learned capacity, in average backends."""
        self.capacity = capacity

    def set_health(self, health):
        """Sets the health factor on the weight: below 1 while ejected or recovering.

        Reports from before an ejection are ignored, and no capacity is learned until full recovery.
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
