from embertray.policy.records.arrivals import ArrivalSamples
from embertray.policy.records.messages import ProxyMessages

from .actor import Actor, c


class Proxy(Actor):
    """A proxy: its zone, whether joined and bound, its open nonces and the requests that come to it."""

    def __init__(self, owner, handle):
        super().__init__(owner, handle)
        self.zone, self.joined, self.table, self.gone_at = None, False, None, owner.now
        self.since, self.seen, self.rates = owner.now, None, {}
        self.messages, self.samples = ProxyMessages(), ArrivalSamples(c.KEEP)

    def on_joined(self, event):
        self.zone, self.rate, self.fresh = event.zone, event.rate, event.fresh
        self.joined, self.table, self.gone_at, self.since = True, None, None, self.now
        self.messages = ProxyMessages()
        self.owner.channel.send("join", self)

    def on_left(self, _):
        self.joined, self.table, self.gone_at = False, None, self.now

    def on_answered(self, event):
        self.messages.answered(event.nonce, self.now)
        self.owner.channel.send("through", self, event.nonce, event.took)

    def on_arrivals(self, event):
        self.samples.add(self.now, event)

    def look(self):
        """What comes, by request kind lately and in all for longer; proxies are many: not at each beat."""
        if self.seen is None or self.now >= self.seen + c.LOOK:
            self.seen, self.rates = self.now, self.over(c.SHORT)
            self.rate_long = sum(self.over(c.WINDOW).values())

    def over(self, window):
        kinds, start = self.site.kinds, self.now - window
        return {kind: self.samples.rate(kind, start, self.rate / len(kinds)) for kind in kinds}
