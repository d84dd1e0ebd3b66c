"""Outcomes of the requests of a FluidSimulation."""

import numpy as np

from embertray.simulation.scenarios.outcome_summary import LONGEST_US, histogram

from .engine import NS_PER_SECOND

NS_PER_US = 1000


class FluidOutcomes:
    """Totals of outcomes, credits and durations.

    Args:
        kinds: The RequestKinds.
        late_credit: Credit of a late request as a part of its kind's credit, by kind.

    Attributes:
        counts: kind -> [asked, done, late, lost].
        durations: A histogram of durations, us.
    """

    def __init__(self, kinds, late_credit):
        self.counts = {kind: [0.0, 0.0, 0.0, 0.0] for kind in kinds}
        self.durations = histogram()
        self._late_credit = late_credit
        self._credits = {}  # second -> [credit asked, credit earned]
        self._remainders = np.zeros(
            (0, len(kinds))
        )  # fractions of requests not yet in the histogram; backends x kinds

    def add_rows(self, count):
        """Adds backends.

        Args:
            count: Their number.
        """
        self._remainders = np.vstack([self._remainders, np.zeros((count, self._remainders.shape[1]))])

    def add(self, second, kind, asked, done, late, lost):
        """Adds requests of one kind.

        Args:
            second: Second of the day.
            kind: The RequestKind.
            asked: Requests that clients sent for the first time.
            done: Requests done in time.
            late: Requests done too late.
            lost: Requests lost.
        """
        counts = self.counts[kind]
        counts[1] += done
        counts[2] += late
        counts[3] += lost
        credits = self._credits.setdefault(second, [0.0, 0.0])
        credits[0] += kind.credit * asked
        credits[1] += kind.credit * (done + late * self._late_credit[kind])

    def add_durations(self, k, answered, latency):
        """Adds answered requests of one kind to the histogram, in whole numbers.

        Args:
            k: The kind's index.
            answered: Number of requests, by backend.
            latency: ns, by backend.
        """
        for row in np.flatnonzero(answered > 0):
            self._remainders[row, k] += answered[row]
            whole = int(self._remainders[row, k])
            if whole:
                self._remainders[row, k] -= whole
                duration = max(1, min(LONGEST_US, int(latency[row]) // NS_PER_US))
                self.durations.record_value(duration, whole)

    def earned_by_second(self):
        """The earned part of the credit that was asked for.

        Returns:
            For each second, a part from 0 to 1, or None where there were no requests.
        """
        seconds = (self._credits.get(n, (0.0, 0.0)) for n in range(max(self._credits, default=-1) + 1))
        return [round(min(1.0, earned / asked), 4) if asked else None for asked, earned in seconds]


def second_of(now, start):
    """The second of a day.

    Args:
        now: ns.
        start: When the day began, ns.

    Returns:
        Whole seconds.
    """
    return (now - start) // NS_PER_SECOND
