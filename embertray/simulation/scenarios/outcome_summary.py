"""What became of a day's requests, summed up by kind, by latency and by second."""

from hdrh.histogram import HdrHistogram

SECOND_NS = 10**9
LONGEST_US = 60 * 10**6  # us; what takes longer counts as this in histograms
HISTOGRAM_DIGITS = 3  # significant digits that a histogram keeps
OUTCOMES = ("done", "late", "lost")


def histogram():
    """An empty histogram of what requests took, us."""
    return HdrHistogram(1, LONGEST_US, HISTOGRAM_DIGITS)


class OutcomeSummary:
    """Sums of `observer.outcomes`; its user also has `site` and `load_start` (the load's start, ns)."""

    def outcome_counts(self):
        """Request kind -> [requests asked, done, late, lost]."""
        counts = {kind: [0, 0, 0, 0] for kind in self.site.kinds}
        for _, kind, outcome, _ in self.observer.outcomes:
            counts[kind][0] += 1
            counts[kind][OUTCOMES.index(outcome) + 1] += 1
        return counts

    def latency_histogram(self):
        """The histogram of what done and late requests took, us."""
        counts = histogram()
        for _, _, outcome, latency_ns in self.observer.outcomes:
            if outcome != "lost":
                counts.record_value(max(1, min(LONGEST_US, latency_ns // 1000)))
        return counts

    def credit_by_second(self):
        """Credit earned of credit asked for each second of the load, by when requests came.

        Returns:
            A list with one share a second; None for a second in which no request came.
        """
        asked = {}
        earned = {}
        for at, kind, outcome, _ in self.observer.outcomes:
            second = (at - self.load_start) // SECOND_NS
            share = {"done": 1.0, "late": self.site.late_credit[kind], "lost": 0.0}[outcome]
            asked[second] = asked.get(second, 0.0) + kind.credit
            earned[second] = earned.get(second, 0.0) + kind.credit * share
        seconds = range(max(asked, default=-1) + 1)
        return [round(earned[n] / asked[n], 4) if n in asked else None for n in seconds]
