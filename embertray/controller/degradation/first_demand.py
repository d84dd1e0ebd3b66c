"""Estimates first demand: the rate of requests without the clients' retries.

Arriving requests are first demand plus retries of rejected or failed requests. Where clients mark their
retries and proxies count them, first demand is known; elsewhere it is estimated. While losses are negligible,
all arrivals are first demand. Under losses the estimate may rise only slowly, or up to the arrivals minus
twice the losses: a sudden surge arrives before its first losses occur, whereas under steady losses this bound
is below what is served. So clients that retry at once, later or never lead to the same estimate.
"""

NEGLIGIBLE_LOSS_SHARE = 0.02  # of the arrivals; up to this, all of them are first demand
# Allowed growth per smoothing period under losses: 12% a minute at periods of 1 s, a usual daily ramp.
RISE_SHARE_PER_PERIOD = 0.002
SURGE_LOSS_FACTOR = 2  # multiple of the losses that is subtracted from arrivals, to tell a surge from retries


class FirstDemand:
    """The first demand of one request kind.

    Attributes:
        rate: Estimate in requests a second; None: nothing has been observed yet.
    """

    def __init__(self):
        self.rate = None

    def update(self, periods, arriving, lost, marked=None):
        """Updates the estimate with the current rates.

        Args:
            periods: Time since the last update, in periods of SMOOTHING_CYCLES (loss_meter.py).
            arriving: Arriving requests a second.
            lost: Rejected or failed requests a second among them.
            marked: Requests a second that clients marked as first attempts; None: they mark none.
        """
        if marked is not None:
            self.rate = marked
        elif self.rate is None:
            self.rate = arriving
        elif arriving < self.rate:  # smoothed, since the arrivals of one report cycle vary at random
            self.rate += (arriving - self.rate) * min(1.0, periods)
        elif lost <= NEGLIGIBLE_LOSS_SHARE * arriving:
            self.rate = arriving
        else:
            slow_rise = self.rate * (1 + RISE_SHARE_PER_PERIOD * periods)
            self.rate = min(arriving, max(slow_rise, arriving - SURGE_LOSS_FACTOR * lost))
