"""How much of the demand is served, by request kind; decisions, no I/O.

What comes to proxies is first demand and repeats of what was denied or failed. Where clients mark their
further tries (as Envoy's x-envoy-attempt-count does) and proxies count them, first demand is known. Where
not, it is held: while nothing is denied all that comes is first demand. From then on first demand is held to
what it was, and may rise only
slowly, or to what comes less twice what is lost: a sudden crowd is there before its first losses are, while
under steady losses that is less than what is served. So clients that ask again at once, later or never leave
the same figure.
"""

S = 10**9
# -- constants: value, unit, reason
STALE_CYCLES = 3  # report cycles after which a proxy's word of a kind counts no more: it has missed two
NEGLIGIBLE_LOSS_SHARE = 0.02  # denied or failed share under which nothing is: what comes is first demand
RISE_SHARE = (
    0.002  # a second that first demand may grow while some is denied: 12% a minute, a usual ramp of a day
)
SMOOTHING_CYCLES = 2  # report cycles over which a fall of demand is averaged: chance in a cycle is none


class ProxyLoad:
    """A proxy's last word of one kind: requests a second that came, were let in, failed, and came first
    (None: unmarked).
    """

    __slots__ = ("at", "came", "let_in", "failed", "first")

    def __init__(self, at, came, let_in, failed, first):
        self.at, self.came, self.let_in, self.failed, self.first = at, came, let_in, failed, first


class FirstDemand:
    """A kind's first demand, requests a second."""

    def __init__(self):
        self.first = None

    def look(self, span, came, lost, first=None):
        """`span`: cycles averaged over that have passed since the last look; `lost`: what of it was denied or
        failed; `first`: what was marked as first tries, where clients mark."""
        if first is not None:
            self.first = first
        elif self.first is None:
            self.first = came
        elif came < self.first:  # averaged: chance in a cycle is no fall
            self.first += (came - self.first) * min(1.0, span)
        elif lost <= NEGLIGIBLE_LOSS_SHARE * came:
            self.first = came
        else:
            self.first = min(came, max(self.first * (1 + RISE_SHARE * span), came - 2 * lost))


class LossMeter:
    """`cycle`: the report cycle, ns; `rated`: whether levels are requests a second (else parts let in)."""

    def __init__(self, kinds, cycle, rated):
        self.kinds, self.cycle, self.rated = kinds, cycle, rated
        self.loads = {kind: {} for kind in kinds}
        self.demand = {kind: FirstDemand() for kind in kinds}
        self.looked = None

    def observe(self, now, proxy, kind, requests, failed, span, level, repeats=None):
        """What came to a proxy in `span` ns under an ordered level (None: all let in); `repeats`: of it,
        marked ones.
        """
        if span <= 0:
            return
        came = requests * S / span
        let_in = came if level is None else min(came, level) if self.rated else came * min(1.0, level)
        first = None if repeats is None else max(0, requests - repeats) * S / span
        self.loads[kind][proxy] = ProxyLoad(now, came, let_in, min(let_in, failed * S / span), first)

    def proxy_left(self, proxy):
        for words in self.loads.values():
            words.pop(proxy, None)

    def lost_share(self, now):
        """Lost share of the credit asked by first demand, 0 to 1; None: nothing that is known is young
        enough.
        """
        oldest = now - STALE_CYCLES * self.cycle
        span = 0.0 if self.looked is None else (now - self.looked) / (SMOOTHING_CYCLES * self.cycle)
        wanted = served = 0.0
        heard = False
        for kind in self.kinds:
            words = [word for word in self.loads[kind].values() if word.at > oldest]
            came = sum(word.came for word in words)
            got = sum(word.let_in - word.failed for word in words)
            heard = heard or bool(words)
            if not words:
                continue
            demand = self.demand[kind]
            marked = all(word.first is not None for word in words)
            demand.look(span, came, came - got, sum(word.first for word in words) if marked else None)
            asked = min(demand.first, came)  # what no longer comes is not lost
            wanted += kind.credit * asked
            served += kind.credit * min(got, asked)
        if not heard:
            return None  # first demand is held: silence is no news of it
        self.looked = now
        return max(0.0, 1 - served / wanted) if wanted > 0 else 0.0

    def load_count(self):
        return sum(map(len, self.loads.values()))
