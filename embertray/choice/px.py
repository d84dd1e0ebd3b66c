from collections import deque

from .actor import Actor, c


class Px(Actor):
    """A proxy: its zone, whether joined and bound, its open marks and the reqs that come to it."""

    def __init__(self, hub, handle):
        super().__init__(hub, handle)
        self.zone, self.joined, self.table, self.gone_at = None, False, None, hub.now
        self.since, self.seen, self.rates = hub.now, None, {}
        self.open, self.sent, self.samples = deque(), deque(), deque(maxlen=c.KEEP)

    def on_joined(self, ev):
        self.zone, self.joined, self.table, self.rate, self.fresh = ev.zone, True, None, ev.rate, ev.fresh
        self.gone_at, self.since = None, self.now
        self.open, self.sent = deque(), deque()
        self.hub.channel.tell("join", self)

    def on_left(self, _):
        self.joined, self.table, self.gone_at = False, None, self.now

    def on_answered(self, ev):
        while any(mark is ev.mark for mark, _ in self.open):
            self.open.popleft()
            self.sent.append(self.now)      # written by now: a channel that lags writes late and at once
        self.hub.channel.tell("through", self, ev.mark, ev.took)

    def on_arrivals(self, ev):
        self.samples.append((self.now, ev))

    def look(self):
        """What comes, by request kind lately and in all for longer; proxies are many: not at each beat."""
        if self.seen is None or self.now >= self.seen + c.LOOK:
            self.seen, self.rates = self.now, {kind: self.over(kind, c.SHORT) for kind in self.site.kinds}
            self.rate_long = sum(self.over(kind, c.WINDOW) for kind in self.site.kinds)

    def over(self, kind, window):
        known = [(at, ev) for at, ev in self.samples if ev.kind is kind]
        rows = [ev for at, ev in known if at > self.now - window or at == known[-1][0]]
        span = sum(ev.span for ev in rows)
        return sum(ev.reqs for ev in rows) * c.S / span if span else self.rate / len(self.site.kinds)
