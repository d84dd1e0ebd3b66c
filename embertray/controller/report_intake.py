"""Proxies' sums become what the module hears: one line for a zone and backend, and one for a proxy and
request kind.

No I/O. The sums of a zone's proxies are gathered until each has reported once, a report cycle at most: their
counts add up, and the time that they cover counts once, not once a proxy, so that a line's rate is the
zone's. At most `rate` lines a second get through, the oldest first; what waits is merged exactly: counts,
latency sums and spans add up, the newest load report stays. With rate 0 all goes through at once.
"""

from embertray.policy import interface as i

S = 10**9
# -- constants: value, unit, reason
BURST = 0.25  # s of the rate that may come at once: what one beat of the module can use; one line at least
SILENT = 3  # report cycles after which a proxy that said nothing is not waited for


class Met:
    """One line's sums. `span`: ns that they cover."""

    __slots__ = ("tries", "failed", "latency", "load", "span")

    def __init__(self):
        self.tries = self.failed = self.latency = self.span = 0
        self.load = {}


class Came:
    __slots__ = ("requests", "lost", "span")

    def __init__(self):
        self.requests = self.lost = self.span = 0


class Round:
    """What a zone's proxies have told since it was opened, each once: proxy -> span, backend -> Met."""

    __slots__ = ("opened", "spans", "lines")

    def __init__(self, now):
        self.opened, self.spans, self.lines = now, {}, {}


class Intake:
    """Merged lines in the order in which they began to wait. `cycle`: the report cycle, ns."""

    def __init__(self, rate, now=0, cycle=0):
        self.rate, self.cycle, self.waiting, self.room, self.at = rate, cycle, {}, rate * BURST, now
        self.rounds, self.heard = {}, {}  # by zone: the open Round; proxy -> when it last told
        self.merged = self.passed = self.unknown = self.dropped = 0

    def sums(self, now, proxy, zone, message, find_backend, find_kind):
        """Takes in one Sums message of a proxy; `find_backend` and `find_kind` turn names into objects, or
        give None for a name that no list had and the site does not have: such a line is skipped and counted.
        """
        self.close_late(now)
        found = self.rounds.get(zone)
        # its next report: the round is over, whoever is missing
        if found is not None and proxy in found.spans:
            self.close(zone)
            found = None
        if found is None:
            found = self.rounds[zone] = Round(now)
        for met in message.met:
            if (backend := find_backend(met.backend)) is None:
                self.unknown += 1
                continue
            line = found.lines.get(backend)
            if line is None:
                line = found.lines[backend] = Met()
            line.tries += met.tries
            line.failed += met.failed
            line.latency += met.latency
            line.load = met.load or line.load
        found.spans[proxy] = message.span
        heard = self.heard.setdefault(zone, {})
        heard[proxy] = now
        if len(found.spans) >= len(heard):
            self.close(zone)
        for came in message.came:
            if (known := find_kind(came.kind)) is None:
                self.unknown += 1
            else:
                line = self.line((proxy, known), Came)
                line.requests += came.requests
                line.lost += came.lost
                line.span += message.span

    def close(self, zone):
        """The zone's round becomes lines that wait."""
        found = self.rounds.pop(zone)
        span = sum(found.spans.values()) // len(found.spans)
        for backend, met in found.lines.items():
            line = self.line((backend, zone), Met)
            line.tries += met.tries
            line.failed += met.failed
            line.latency += met.latency
            line.load = met.load or line.load
            line.span += span

    def close_late(self, now):
        """Rounds that have waited for a cycle are closed; who has been silent for long is not waited for
        again.
        """
        for zone in [zone for zone, found in self.rounds.items() if now - found.opened >= self.cycle]:
            self.close(zone)
            self.heard[zone] = {
                proxy: at for proxy, at in self.heard[zone].items() if now - at <= SILENT * self.cycle
            }

    def line(self, key, make):
        if key in self.waiting:
            self.merged += 1
        else:
            self.waiting[key] = make()
        return self.waiting[key]

    def due(self, now):
        """Events for the module, as many as have room now."""
        if self.rate:
            self.room = min(max(1.0, self.rate * BURST), self.room + (now - self.at) * self.rate / S)
        self.at = now
        self.close_late(now)
        events = []
        while self.waiting and (not self.rate or self.room >= 1):
            (thing, second), line = next(iter(self.waiting.items()))
            del self.waiting[(thing, second)]
            self.room -= 1
            if isinstance(line, Came):
                events.append(i.Arrivals(thing, second, line.requests, line.lost, line.span))
            elif line.tries:
                done = line.tries - line.failed
                events.append(
                    i.Heard(
                        thing,
                        second,
                        line.tries,
                        line.failed,
                        line.latency // done if done else 0,
                        line.span,
                        line.load,
                    )
                )
        self.passed += len(events)
        return events

    def next_at(self):
        """When the next line has room or a round is to be closed, ns; None when nothing waits."""
        late = min((found.opened + self.cycle for found in self.rounds.values()), default=None)
        if not self.waiting:
            return late
        room = (
            self.at if not self.rate or self.room >= 1 else self.at + int((1 - self.room) * S / self.rate) + 1
        )
        return room if late is None else min(room, late)

    def backends(self):
        """Those of whom something waits here."""
        return {key[0] for key in self.waiting}.union(*(found.lines for found in self.rounds.values()))

    def drop_oldest(self, count):
        """Drops so many of the lines that wait, the oldest first; how many there were."""
        gone = list(self.waiting)[:count]
        for key in gone:
            del self.waiting[key]
        self.dropped += len(gone)
        return len(gone)

    def left(self, proxy):
        """What came to a proxy that has left says nothing of what will come."""
        for key in [key for key in self.waiting if key[0] is proxy]:
            del self.waiting[key]
        for heard in self.heard.values():
            heard.pop(proxy, None)
