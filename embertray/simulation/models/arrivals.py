"""Arrival processes: sources that determine when requests arrive. Times in ns, rates in requests a second.

`next(now, rng, until)` of a source returns (when, kind, work) of the first request after `now`. `when` is
None if no request arrives before `until`; kind and work are None if the clients draw them from their mix.
Profiles (wave, flash, Bursts) are functions of the time that give a factor of the rate.
"""

import math

NS_PER_SECOND = 10**9
RATE_CHECK_INTERVAL_NS = NS_PER_SECOND // 10  # interval at which a source reads its rate again


def arrival_before(when, until):
    """Returns (when, None, None): the clients draw kind and work. `when` is None from `until` on."""
    return (when if when < until else None), None, None


class Poisson:
    """A Poisson process with a rate that changes slowly.

    Each gap is drawn from the rate at the previous arrival.

    Args:
        rate: A function of the time, ns, that gives requests a second.
    """

    def __init__(self, rate):
        self.rate = rate

    def next(self, now, rng, until):
        """Returns (when, kind, work) of the next request, as the module describes."""
        while now < until:
            rate = self.rate(now)
            if rate > 0:
                return arrival_before(now + int(rng.exponential(NS_PER_SECOND / rate)), until)
            now += RATE_CHECK_INTERVAL_NS
        return None, None, None


class Varying:
    """A Poisson process whose rate may change within a gap.

    A gap longer than RATE_CHECK_INTERVAL_NS is drawn again from there on. At a steady rate this makes no
    difference, because a Poisson process is memoryless.

    Args:
        rate: A function of the time, ns, that gives requests a second.
    """

    def __init__(self, rate):
        self.rate = rate

    def next(self, now, rng, until):
        """Returns (when, kind, work) of the next request, as the module describes."""
        while now < until:
            rate = self.rate(now)
            gap = int(rng.exponential(NS_PER_SECOND / rate)) if rate > 0 else RATE_CHECK_INTERVAL_NS + 1
            if gap <= RATE_CHECK_INTERVAL_NS:
                return arrival_before(now + gap, until)
            now += RATE_CHECK_INTERVAL_NS
        return None, None, None


class Recorded:
    """Replays recorded requests, for example from HAR files or access logs.

    Args:
        rows: (when, kind, work) of each request, by ascending time.
        speed: By what factor the replay is faster than the recording.
    """

    def __init__(self, rows, speed=1.0):
        self.rows, self.speed, self.last = iter(rows), speed, -1

    def next(self, now, rng, until):
        """Returns (when, kind, work) of the next request, as the module describes."""
        row = next(self.rows, None)
        if row is None:
            return None, None, None
        when, kind, work = int(row[0] / self.speed), row[1], row[2]
        if when < self.last:
            raise ValueError(f"a row at {when} ns after one at {self.last} ns: rows must be in order")
        self.last = when
        return (max(now, when), kind, work) if when < until else (None, None, None)


def wave(amplitude, period, start=0):
    """Returns a sine profile around 1 with an `amplitude` from 0 to 1 and a `period` in ns."""
    return lambda now: 1 + amplitude * math.sin(2 * math.pi * (now - start) / period)


def flash(peak, start, rise, hold, half_life):
    """Returns the profile of a flash crowd.

    Args:
        peak: Its largest factor.
        start: When it leaves 1, ns.
        rise: How long it grows to the peak, ns.
        hold: How long the peak lasts, ns.
        half_life: After the peak, the excess over 1 halves in this time, ns.
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
    """A profile that is a Markov chain of two states, calm and burst, with a mean factor of 1.

    With a Poisson source this is a Markov-modulated Poisson process. It must be called with ascending times.

    Args:
        burst_factor: The rate of a burst as a multiple of the calm rate.
        calm_mean: The mean duration of the calm state, ns.
        burst_mean: The mean duration of a burst, ns.
        rng: A numpy Generator.
        start: The start of the first calm state, ns.
    """

    def __init__(self, burst_factor, calm_mean, burst_mean, rng, start=0):
        calm = (calm_mean + burst_mean) / (calm_mean + burst_factor * burst_mean)
        self.rate_factors, self.mean_durations, self.rng = (
            (calm, calm * burst_factor),
            (calm_mean, burst_mean),
            rng,
        )
        self.state, self.until = 0, start + self.draw_duration(0)

    def draw_duration(self, state):
        """Draws how long a state lasts, ns."""
        return max(1, int(self.rng.exponential(self.mean_durations[state])))

    def __call__(self, now):
        """Returns the factor at `now`, ns."""
        while now >= self.until:
            self.state = 1 - self.state
            self.until += self.draw_duration(self.state)
        return self.rate_factors[self.state]
