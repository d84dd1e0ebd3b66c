"""What proxies reported of one backend, and the sums over a window of it."""

from collections import deque
from typing import Any, NamedTuple

from embertray.policy.units import SECOND


class Sample(NamedTuple):
    """One report: what the proxies of a zone met within `span` ns before `time`, ns."""

    time: int  # ns
    attempts: int
    failed: int
    latency: int  # ns; mean of the attempts that were answered
    load: float | None  # None: no load was reported
    zone: Any
    span: int  # ns


class Totals(NamedTuple):
    """The sums of a window."""

    attempts: int = 0
    failed: int = 0
    latency: float = 0  # ns; mean of all attempts
    rate: float = 0  # answered a second, by reported spans


class NewestReport(NamedTuple):
    """One of a backend's newest reports."""

    attempts: int
    latency: int  # ns; sum of all attempts
    load: float | None


class BackendStats(NamedTuple):
    """What a backend's samples come to now."""

    backend: Any
    long_window: Totals  # of the long window
    span: int  # ns that the long window covers
    short_window: Totals  # of the short window
    warm_up_factor: float  # factor on the weight by slow start
    load: float | None  # mean of the long window
    newest: tuple[NewestReport, ...]


class BackendSamples:
    """The last reports on a backend.

    Args:
        keep: reports that are kept.
    """

    def __init__(self, keep):
        self.rows = deque(maxlen=keep)

    def add(self, time, report, load):
        """Keeps a report that came at `time`, ns, with the load that it tells or None."""
        row = Sample(time, report.tries, report.failed, report.latency, load, report.zone, report.span)
        self.rows.append(row)

    def clear(self):
        """Forgets all reports."""
        self.rows.clear()

    def totals(self, start, failed_latency, span_min):
        """The sums of all reports since `start`.

        Args:
            start: ns.
            failed_latency: ns that a failed attempt counts as.
            span_min: ns; the rate is that of each zone's reported spans, or of this if they are shorter.

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
        """The reports since `start`, ns; a failed attempt counts as `failed_latency` ns.

        Returns:
            tuple of `NewestReport`.
        """
        return tuple(
            NewestReport(row.attempts, latency_sum(row, failed_latency), row.load)
            for row in self.rows
            if row.time > start
        )

    def mean_load(self, start):
        """Mean reported load since `start`, ns; None if none was reported."""
        loads = [row.load for row in self.rows if row.load is not None and row.time > start]
        return sum(loads) / len(loads) if loads else None


def latency_sum(row, failed_latency):
    """Latency of all attempts of a `Sample`, ns; a failed one counts as `failed_latency`."""
    return (row.attempts - row.failed) * row.latency + row.failed * failed_latency


def add_totals(totals):
    """Totals of several backends: attempts, failures and rates are added, latency is left out."""
    rows = list(totals)
    return Totals(
        attempts=sum(row.attempts for row in rows),
        failed=sum(row.failed for row in rows),
        rate=sum(row.rate for row in rows),
    )
