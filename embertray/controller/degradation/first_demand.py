"""Estimates first demand: the requests that clients make before any of them is rejected or repeated.

What comes to proxies is first demand and repeats of what was rejected or failed. Where clients mark their
repeats and proxies count them, first demand is known. Where they do not, it is estimated: while next to
nothing is lost, all that comes is first demand. From then on it may rise only slowly, or to what comes less
twice what is lost: a sudden crowd is there before its first losses are, while under steady losses that is
less than what is served. So clients that repeat at once, later or never lead to the same figure.
"""

NEGLIGIBLE_LOSS_SHARE = 0.02  # of what comes; up to this, all of it is first demand
RISE_SHARE_PER_PERIOD = (
    0.002  # a span that it may grow under losses: 12% a minute at spans of 1 s, a usual ramp of a day
)
SURGE_LOSS_FACTOR = 2  # times the loss that is taken off what comes, to tell a crowd from repeats


class FirstDemand:
    """The first demand of one request kind.

    Attributes:
        rate: Requests a second; None: nothing has been observed yet.
    """

    def __init__(self):
        self.rate = None

    def update(self, periods, arriving, lost, marked=None):
        """Takes in the rates of now.

        Args:
            periods: Time since the last update, in periods of SMOOTHING_CYCLES (loss_meter.py).
            arriving: Requests a second that come.
            lost: Requests a second of them that are rejected or fail.
            marked: Requests a second that clients marked as first attempts; None: they mark none.
        """
        if marked is not None:
            self.rate = marked
        elif self.rate is None:
            self.rate = arriving
        elif arriving < self.rate:  # averaged: chance in a report cycle is no fall
            self.rate += (arriving - self.rate) * min(1.0, periods)
        elif lost <= NEGLIGIBLE_LOSS_SHARE * arriving:
            self.rate = arriving
        else:
            slow_rise = self.rate * (1 + RISE_SHARE_PER_PERIOD * periods)
            self.rate = min(arriving, max(slow_rise, arriving - SURGE_LOSS_FACTOR * lost))
