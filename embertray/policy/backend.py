from embertray.policy.records.backend import BackendFigures, BackendSamples

from .actor import Actor, c


class Backend(Actor):
    """A backend: what the list says of it, its last samples, its learnt capacity (1 = average) and health."""

    def __init__(self, owner, handle):
        super().__init__(owner, handle)
        self.zone, self.state, self.started = None, None, 0
        self.cap, self.health, self.deaf_until, self.since, self.new = 1.0, 1.0, 0, owner.now, owner.now
        self.gone_at, self.draw, self.samples = None, owner.chance(), BackendSamples(c.KEEP)

    def on_listed(self, entry):
        if entry.state == "ready" and entry.started > self.started:
            self.health, self.deaf_until, self.since = 1.0, 0, self.now
            self.new = entry.started + self.site.warm_after
            self.samples.clear()
        if entry.state != "ready" and self.state in (None, "ready"):  # drained, then gone: once only
            self.owner.channel.send("remove", self)
        self.zone, self.state, self.started = entry.zone, entry.state, max(entry.started, self.started)
        self.gone_at = (self.gone_at or self.now) if entry.state == "gone" else None

    def on_heard(self, event):
        self.owner.spans.append(event.span)
        self.owner.reports_busy = "busy" in event.load or self.owner.reports_busy
        if self.now - event.span >= self.deaf_until and event.tries > 0:
            loads = [event.load[name] for name in ("busy", "waiting", "held") if name in event.load]
            self.samples.add(self.now, event, loads[0] if loads else None)

    def over(self, start):
        """A failed try counts as a client time-out."""
        least = self.now - max(start, self.owner.born) - self.owner.cycle  # spans with no try go unsaid
        return self.samples.totals(start, self.owner.timeout, max(c.BEAT, least))

    def warmth(self):
        """Guards cold backends: a part of the load they fall under. Lags behind one that warms sooner."""
        site, age = self.site, max(0, self.now - self.started)
        if self.started <= 0 or age >= site.warm_after:
            return 1.0
        speed = site.cold_from + (1 - site.cold_from) * age / site.warm_after
        drawn = c.TWICE if site.pick == "two" else 1.0  # the emptier of two drawn: a cold one wins most
        return min(c.COLD_TOP, speed * (c.COLD_PART * site.fall_multiple * drawn or 1))

    def figures(self):
        """What its samples come to now. A failed new try counts as one that just missed its target."""
        long, short = (self.now - max(least, 2 * self.owner.cycle) for least in (c.WINDOW, c.SHORT))
        start = max(long, self.new)  # what it did cold or sick does not count
        newest = self.samples.newest(self.now - self.site.report_cycle * 3 // 2, self.owner.target)
        load, span = self.samples.mean_load(self.now - c.WINDOW), self.now - start
        return BackendFigures(self, self.over(start), span, self.over(short), self.warmth(), load, newest)

    def set(self, cap, health):
        """What reports tell of the time before a cut does not count."""
        if health < self.health:
            self.deaf_until = self.now + self.site.report_cycle + self.site.way_max
            self.samples.clear()
        if health != self.health:
            self.since, self.new = self.now, self.now + (self.site.report_cycle if health >= 1 else 0)
        self.cap, self.health = cap, health
