"""Reports on one backend, and totals over a window of them."""

from collections import deque
from typing import Any, NamedTuple

from embertray.policy.units import SECOND


class Sample(NamedTuple):
    """One report of the proxies of a zone, over the `span` ns before `time`."""

    time: int  # ns
    attempts: int
    failed: int
    latency: int  # ns; mean of the answered attempts
    load: float | None  # None: not reported
    zone: Any
    span: int  # ns


class Totals(NamedTuple):
    """Totals over a window."""

    attempts: int = 0
    failed: int = 0
    latency: float = 0  # ns; mean of all attempts
    rate: float = 0  # answered attempts a second, from the reported spans


class NewestReport(NamedTuple):
    """One of a backend's newest reports."""

    attempts: int
    latency: int  # ns; sum of all attempts
    load: float | None


class BackendStats(NamedTuple):
    """Aggregated samples of a backend."""

    backend: Any
    long_window: Totals
    span: int  # ns covered by the long window
    short_window: Totals
    warm_up_factor: float  # slow-start factor on the weight
    load: float | None  # mean over the long window
    newest: tuple[NewestReport, ...]


class BackendSamples:
    """The latest reports on a backend.

    Args:
        keep: maximum number of reports.
    """

    def __init__(self, keep):
        self.rows = deque(maxlen=keep)

    def add(self, time, report, load):
        """Stores a report that arrived at `time`, ns, with its load or None."""
        row = Sample(time, report.tries, report.failed, report.latency, load, report.zone, report.span)
        self.rows.append(row)

    def clear(self):
        """Discards all reports."""
        self.rows.clear()

    def totals(self, start, failed_latency, span_min):
        """Returns the totals of all reports since `start`.

        Args:
            start: ns.
            failed_latency: latency that a failed attempt counts as, ns.
            span_min: minimum time over which the rate of a zone is computed, ns; applies where its reported
                spans add up to less.

        Returns:
            `Totals`.
        """
        rows = [row for row in self.rows if row.time > start]
        attempts = sum(row.attempts for row in rows)
        failed = sum(row.failed for row in rows)
        latency = sum(latency_sum(row, failed_latency) for row in rows)
        spans = {}
        for row in rows:
            spans[row.zone] = spans.get(row.zone, 0) + row.span
        rate = sum((row.attempts - row.failed) * SECOND / max(span_min, spans[row.zone]) for row in rows)
        return Totals(attempts, failed, latency / attempts if attempts else 0, rate)

    def newest(self, start, failed_latency):
        """Returns the reports since `start`, ns; a failed attempt counts as `failed_latency` ns.

        Returns:
            tuple of `NewestReport`.
        """
        return tuple(
            NewestReport(row.attempts, latency_sum(row, failed_latency), row.load)
            for row in self.rows
            if row.time > start
        )

    def mean_load(self, start):
        """Returns the mean reported load since `start`, ns; None if none was reported."""
        loads = [row.load for row in self.rows if row.load is not None and row.time > start]
        return sum(loads) / len(loads) if loads else None


def latency_sum(row, failed_latency):
    """Returns the summed latency of a `Sample`, ns; a failed attempt counts as `failed_latency`."""
    return (row.attempts - row.failed) * row.latency + row.failed * failed_latency


def add_totals(totals):
    """Returns the totals of several backends: sums of attempts, failures and rates, without latency."""
    rows = list(totals)
    return Totals(
        attempts=sum(row.attempts for row in rows),
        failed=sum(row.failed for row in rows),
        rate=sum(row.rate for row in rows),
    )
