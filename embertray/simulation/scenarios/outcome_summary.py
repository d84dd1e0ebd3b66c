"""Summary of the outcomes of a day's requests by kind, latency and second."""

from hdrh.histogram import HdrHistogram

SECOND_NS = 10**9
LONGEST_US = 60 * 10**6  # longer latencies count as this in histograms
HISTOGRAM_DIGITS = 3  # significant digits that a histogram keeps
OUTCOMES = ("done", "late", "lost")


def histogram():
    """Returns an empty histogram of latencies, us."""
    return HdrHistogram(1, LONGEST_US, HISTOGRAM_DIGITS)


class OutcomeSummary:
    """Mixin that summarizes `observer.outcomes`, for classes with `site` and `load_start` (ns)."""

    def outcome_counts(self):
        """Returns request kind -> [requests, done, late, lost]."""
        counts = {kind: [0, 0, 0, 0] for kind in self.site.kinds}
        for _, kind, outcome, _ in self.observer.outcomes:
            counts[kind][0] += 1
            counts[kind][OUTCOMES.index(outcome) + 1] += 1
        return counts

    def latency_histogram(self):
        """Returns the histogram of the latencies of done and late requests, us."""
        counts = histogram()
        for _, _, outcome, latency_ns in self.observer.outcomes:
            if outcome != "lost":
                counts.record_value(max(1, min(LONGEST_US, latency_ns // 1000)))
        return counts

    def credit_by_second(self):
        """Returns the earned share of the requested credit for each second of the load.

        Returns:
            A list with a share for each second, by arrival of the requests; None for seconds without any.
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
