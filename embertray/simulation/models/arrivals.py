"""Where requests come from: each source tells when the next one comes. Times in ns, rates a second.

`next(now, rng, until)` gives (when, kind, work): the first request after `now`; kind and work None where the
clients' mix draws them; `when` None when none comes before `until`. Profiles (wave, flash, Bursts) are
factors on a rate by time. A recorded source replays what a log tells: whoever reads HAR files or access logs
gives it (when, kind, work) rows.
"""

import math

NS_PER_SECOND = 10**9
# -- constants: value, unit, reason
RATE_CHECK_INTERVAL_NS = NS_PER_SECOND // 10  # ns after which a source looks at its rate again


def arrival_before(when, until):
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
                return arrival_before(now + int(rng.exponential(NS_PER_SECOND / rate)), until)
            now += RATE_CHECK_INTERVAL_NS
        return None, None, None


class Varying:
    """As Poisson, for a rate that changes within a gap: a gap longer than LOOK is drawn anew from there on,
    which changes nothing at a steady rate (a Poisson process has no memory)."""

    def __init__(self, rate):
        self.rate = rate

    def next(self, now, rng, until):
        while now < until:
            rate = self.rate(now)
            gap = int(rng.exponential(NS_PER_SECOND / rate)) if rate > 0 else RATE_CHECK_INTERVAL_NS + 1
            if gap <= RATE_CHECK_INTERVAL_NS:
                return arrival_before(now + gap, until)
            now += RATE_CHECK_INTERVAL_NS
        return None, None, None


class Recorded:
    """Rows of (when, kind, work) in the order of their times; `fast` x as fast."""

    def __init__(self, rows, speed=1.0):
        self.rows, self.speed, self.last = iter(rows), speed, -1

    def next(self, now, rng, until):
        row = next(self.rows, None)
        if row is None:
            return None, None, None
        when, kind, work = int(row[0] / self.speed), row[1], row[2]
        if when < self.last:
            raise ValueError(f"a row at {when} ns after one at {self.last} ns: rows must be in order")
        self.last = when
        return (max(now, when), kind, work) if when < until else (None, None, None)


def wave(amplitude, period, start=0):
    """Round 1, by `swing` (0 to 1), each `period` ns."""
    return lambda now: 1 + amplitude * math.sin(2 * math.pi * (now - start) / period)


def flash(peak, start, rise, hold, half_life):
    """A flash crowd: from 1 to `peak` within `rise` ns from `start` on, held, and falling by halves each
    `half_life` ns.
    """

    def factor(now):
        if now < start:
            return 1.0
        if now < start + rise:
            return 1 + (peak - 1) * (now - start) / rise
        if now < start + rise + hold:
            return peak
        return 1 + (peak - 1) * 0.5 ** ((now - start - rise - hold) / half_life)

    return factor


class Bursts:
    """A Markov chain of two states, calm and burst, that last so long on average (ns): in a burst
    `burst_factor` the calm rate. The mean factor is 1. With a Poisson source this is an MMPP. Ask it in the order of time."""

    def __init__(self, burst_factor, calm_mean, burst_mean, rng, start=0):
        calm = (calm_mean + burst_mean) / (calm_mean + burst_factor * burst_mean)
        self.rate_factors, self.mean_durations, self.rng = (
            (calm, calm * burst_factor),
            (calm_mean, burst_mean),
            rng,
        )
        self.state, self.until = 0, start + self.draw_duration(0)

    def draw_duration(self, state):
        return max(1, int(self.rng.exponential(self.mean_durations[state])))

    def __call__(self, now):
        while now >= self.until:
            self.state = 1 - self.state
            self.until += self.draw_duration(self.state)
        return self.rate_factors[self.state]
