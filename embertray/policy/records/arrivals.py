"""Reported requests of one proxy, and their rates."""

from collections import deque

from embertray.policy.units import SECOND


class ArrivalSamples:
    """The latest reports of a proxy (`interface.ArrivalReport`) with their time of arrival.

    Args:
        keep: maximum number of reports.
    """

    def __init__(self, keep):
        self.rows = deque(maxlen=keep)

    def add(self, time, arrivals):
        """Stores a report that arrived at `time`, ns."""
        self.rows.append((time, arrivals))

    def rate(self, kind, start, default):
        """Returns requests of a kind a second, from the reports since `start`.

        The last ones count however old they are: a report stands until the next one.

        Args:
            kind: `interface.RequestKind`.
            start: ns.
            default: rate returned if the kind was not reported.
        """
        known = [(time, report) for time, report in self.rows if report.kind is kind]
        rows = [report for time, report in known if time > start or time == known[-1][0]]
        span = sum(report.span for report in rows)
        return sum(report.requests for report in rows) * SECOND / span if span else default
