"""Rates of counters that are read once a second."""

from collections import namedtuple

S = 10**9  # ns
WORST_WINDOW_S = 10  # consecutive seconds of the worst rate

Counters = namedtuple("Counters", "sent received messages parts")  # totals since the start


class Meter:
    """The readings of one member's counters."""

    def __init__(self):
        self.times, self.readings = [], []

    def read(self, now, counters):
        """Adds a reading; `now` is in ns."""
        self.times.append(now)
        self.readings.append(counters)

    def rate(self, field):
        """Returns the mean per second over the window."""
        first, last = (getattr(self.readings[n], field) for n in (0, -1))
        return (last - first) * S / (self.times[-1] - self.times[0])

    def worst(self, field):
        """Returns the greatest mean per second of any ten consecutive seconds."""
        values = [getattr(reading, field) for reading in self.readings]
        width = min(WORST_WINDOW_S, len(values) - 1)
        rates = [
            (values[n + width] - values[n]) * S / (self.times[n + width] - self.times[n])
            for n in range(len(values) - width)
        ]
        return max(rates)

    def part_rates(self):
        """Returns the mean bytes per second of each part of what was sent."""
        span = (self.times[-1] - self.times[0]) / S
        first, last = self.readings[0].parts, self.readings[-1].parts
        return {name: (last[name] - first.get(name, 0)) / span for name in last}
