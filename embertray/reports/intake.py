"""Proxies' sums become what the module hears: one line for a zone and backend, and one for a proxy and request kind.

No I/O. At most `rate` lines a second get through, the oldest first; what waits is merged exactly: counts and latency
sums add up, spans grow, the newest load report stays. With rate 0 all goes through at once.
"""
from .. import interface as i

S = 10**9
# -- constants: value, unit, reason
BURST = 0.25        # s of the rate that may come at once: what one beat of the module can use


class Met:
    """One line's sums. `since` is the start of what it covers, `until` its end, ns."""

    __slots__ = ("tries", "errored", "latency", "load", "since", "until")

    def __init__(self, since):
        self.tries = self.errored = self.latency = self.until = 0
        self.load, self.since = {}, since


class Came:
    __slots__ = ("reqs", "lost", "since", "until")

    def __init__(self, since):
        self.reqs = self.lost = self.until = 0
        self.since = since


class Intake:
    """Merged lines in the order in which they began to wait."""

    def __init__(self, rate, now=0):
        self.rate, self.waiting, self.room, self.at = rate, {}, rate * BURST, now
        self.merged = self.passed = self.unknown = self.dropped = 0

    def sums(self, now, px, zone, message, backend, kind):
        """Takes in one Sums message of a proxy; `backend` and `kind` turn names into objects, or give None
        for a name that no list had and the site does not have: such a line is skipped and counted."""
        since = now - message.span
        for met in message.met:
            if (be := backend(met.backend)) is None:
                self.unknown += 1
                continue
            line = self.line((be, zone), Met, since)
            line.tries += met.tries
            line.errored += met.errored
            line.latency += met.latency
            line.load = met.load or line.load
            line.until = now
        for came in message.came:
            if (known := kind(came.kind)) is None:
                self.unknown += 1
            else:
                line = self.line((px, known), Came, since)
                line.reqs += came.reqs
                line.lost += came.lost
                line.until = now

    def line(self, key, make, since):
        if key in self.waiting:
            self.merged += 1
            self.waiting[key].since = min(self.waiting[key].since, since)
        else:
            self.waiting[key] = make(since)
        return self.waiting[key]

    def due(self, now):
        """Events for the module, as many as have room now."""
        if self.rate:
            self.room = min(self.rate * BURST, self.room + (now - self.at) * self.rate / S)
        self.at = now
        events = []
        while self.waiting and (not self.rate or self.room >= 1):
            (thing, second), line = next(iter(self.waiting.items()))
            del self.waiting[(thing, second)]
            self.room -= 1
            span = line.until - line.since
            if isinstance(line, Came):
                events.append(i.Arrivals(thing, second, line.reqs, line.lost, span))
            elif line.tries:
                done = line.tries - line.errored
                events.append(i.Heard(thing, second, line.tries, line.errored,
                                      line.latency // done if done else 0, span, line.load))
        self.passed += len(events)
        return events

    def next_at(self):
        """When the next line has room, ns; None when none waits."""
        if not self.waiting:
            return None
        if not self.rate or self.room >= 1:
            return self.at
        return self.at + int((1 - self.room) * S / self.rate) + 1

    def drop_oldest(self, count):
        """Drops so many of the lines that wait, the oldest first; how many there were."""
        gone = list(self.waiting)[:count]
        for key in gone:
            del self.waiting[key]
        self.dropped += len(gone)
        return len(gone)

    def left(self, px):
        """What came to a proxy that has left says nothing of what will come."""
        for key in [key for key in self.waiting if key[0] is px]:
            del self.waiting[key]
