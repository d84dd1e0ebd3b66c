from ..records.arrivals import ArrivalSamples
from ..records.messages import ProxyMessages
from .actor import Actor, c


class Px(Actor):
    """A proxy: its zone, whether joined and bound, its open nonces and the requests that come to it."""

    def __init__(self, hub, handle):
        super().__init__(hub, handle)
        self.zone, self.joined, self.table, self.gone_at = None, False, None, hub.now
        self.since, self.seen, self.rates = hub.now, None, {}
        self.messages, self.samples = ProxyMessages(), ArrivalSamples(c.KEEP)

    def on_joined(self, ev):
        self.zone, self.joined, self.table, self.rate, self.fresh = ev.zone, True, None, ev.rate, ev.fresh
        self.gone_at, self.since = None, self.now
        self.messages = ProxyMessages()
        self.hub.channel.tell("join", self)

    def on_left(self, _):
        self.joined, self.table, self.gone_at = False, None, self.now

    def on_answered(self, ev):
        self.messages.answered(ev.nonce, self.now)
        self.hub.channel.tell("through", self, ev.nonce, ev.took)

    def on_arrivals(self, ev):
        self.samples.add(self.now, ev)

    def look(self):
        """What comes, by request kind lately and in all for longer; proxies are many: not at each beat."""
        if self.seen is None or self.now >= self.seen + c.LOOK:
            self.seen, self.rates = self.now, self.over(c.SHORT)
            self.rate_long = sum(self.over(c.WINDOW).values())

    def over(self, window):
        kinds, start = self.site.kinds, self.now - window
        return {kind: self.samples.rate(kind, start, self.rate / len(kinds)) for kind in kinds}
