"""The requests that one proxy reported, and their rates."""

from collections import deque

from embertray.policy.units import SECOND


class ArrivalSamples:
    """The last reports of a proxy (`interface.ArrivalReport`), by the time at which they came.

    Args:
        keep: reports that are kept.
    """

    def __init__(self, keep):
        self.rows = deque(maxlen=keep)

    def add(self, time, arrivals):
        """Keeps a report that came at `time`, ns."""
        self.rows.append((time, arrivals))

    def rate(self, kind, start, default):
        """Requests of a kind a second, by the reports since `start` and those that came last.

        Args:
            kind: `interface.RequestKind`.
            start: ns.
            default: what is returned if nothing was reported of the kind.
        """
        known = [(time, report) for time, report in self.rows if report.kind is kind]
        rows = [report for time, report in known if time > start or time == known[-1][0]]
        span = sum(report.span for report in rows)
        return sum(report.requests for report in rows) * SECOND / span if span else default
