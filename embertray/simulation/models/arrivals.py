"""Where requests come from: each source tells when the next one comes. Times in ns, rates a second.

`next(now, rng, until)` gives (when, kind, work): the first request after `now`; kind and work None where the
clients' mix draws them; `when` None when none comes before `until`. Profiles (wave, flash, Bursts) are
factors on a rate by time. A recorded source replays what a log tells: whoever reads HAR files or access logs
gives it (when, kind, work) rows.
"""

import math

S = 10**9
# -- constants: value, unit, reason
LOOK = S // 10  # ns after which a source looks at its rate again


def before(when, until):
    return (when if when < until else None), None, None


class Poisson:
    """At `rate(now)`, which may change slowly: the gap is drawn at the rate that holds when the last one
    came.
    """

    def __init__(self, rate):
        self.rate = rate

    def next(self, now, rng, until):
        while now < until:
            rate = self.rate(now)
            if rate > 0:
                return before(now + int(rng.exponential(S / rate)), until)
            now += LOOK
        return None, None, None


class Varying:
    """As Poisson, for a rate that changes within a gap: a gap longer than LOOK is drawn anew from there on,
    which changes nothing at a steady rate (a Poisson process has no memory)."""

    def __init__(self, rate):
        self.rate = rate

    def next(self, now, rng, until):
        while now < until:
            rate = self.rate(now)
            gap = int(rng.exponential(S / rate)) if rate > 0 else LOOK + 1
            if gap <= LOOK:
                return before(now + gap, until)
            now += LOOK
        return None, None, None


class Recorded:
    """Rows of (when, kind, work) in the order of their times; `fast` x as fast."""

    def __init__(self, rows, fast=1.0):
        self.rows, self.fast, self.last = iter(rows), fast, -1

    def next(self, now, rng, until):
        row = next(self.rows, None)
        if row is None:
            return None, None, None
        when, kind, work = int(row[0] / self.fast), row[1], row[2]
        if when < self.last:
            raise ValueError(f"a row at {when} ns after one at {self.last} ns: rows must be in order")
        self.last = when
        return (max(now, when), kind, work) if when < until else (None, None, None)


def wave(swing, period, zero=0):
    """Round 1, by `swing` (0 to 1), each `period` ns."""
    return lambda now: 1 + swing * math.sin(2 * math.pi * (now - zero) / period)


def flash(times, at, up, hold, down):
    """A flash crowd: from 1 to `times` within `up` ns from `at` on, held, and falling by halves each `down`
    ns.
    """

    def factor(now):
        if now < at:
            return 1.0
        if now < at + up:
            return 1 + (times - 1) * (now - at) / up
        if now < at + up + hold:
            return times
        return 1 + (times - 1) * 0.5 ** ((now - at - up - hold) / down)

    return factor


class Bursts:
    """A Markov chain of two states, calm and burst, that last so long on average (ns): in a burst `times` the
    calm rate. The mean factor is 1. With a Poisson source this is an MMPP. Ask it in the order of time."""

    def __init__(self, times, calm_lasts, burst_lasts, rng, zero=0):
        calm = (calm_lasts + burst_lasts) / (calm_lasts + times * burst_lasts)
        self.factors, self.lasts, self.rng = (calm, calm * times), (calm_lasts, burst_lasts), rng
        self.state, self.until = 0, zero + self.stay(0)

    def stay(self, state):
        return max(1, int(self.rng.exponential(self.lasts[state])))

    def __call__(self, now):
        while now >= self.until:
            self.state = 1 - self.state
            self.until += self.stay(self.state)
        return self.factors[self.state]
