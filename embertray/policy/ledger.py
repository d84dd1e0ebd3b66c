from collections import deque
from statistics import median

from embertray.policy.records.messages import Flights

from .actor import Actor, c


class Ledger(Actor):
    """What was ordered and not yet answered, by nonce; every order is booked here first."""

    def __init__(self, owner):
        super().__init__(owner)
        self.lines, self.booked, self.flights, self.took = {}, 0, Flights(owner.now), deque(maxlen=8)

    def on_through(self, proxy, nonce, took):
        self.took.append(took)
        self.flights.answered(proxy, nonce, self.site.head + 1, self.now)

    def waiting(self):
        return self.flights.waiting(self.now, self.site.channel_rate, c.SLOWEST)

    def patience(self):
        """Lines ahead, the longest way and answers lately seen: a slow channel breeds no repeats."""
        ahead = int(self.waiting() * c.S / (self.site.channel_rate or 1))
        return c.PATIENCE + self.site.way_max + 2 * max(self.took, default=0) + 2 * ahead

    def free(self, rank):
        """Lines that have room, by rank. A slow channel keeps it for removals, whose grace runs; they wait to
        go in fewer messages. So it does while the list is silent: what that tells later comes at once."""
        late = max(1, 2 * median(self.took or [0]) / (self.site.drain_grace or c.S))
        unheard = c.WAVES if self.owner.list_watcher.fails else 1
        slow = max(late, unheard) if rank in (c.HASTY, c.ORDINARY) else min(late, c.WAVES)
        return rank[0] / slow * self.site.pending_max - self.waiting() - self.booked

    def fits(self, proxies, want, rank, least=None):
        """Books lines at each proxy: all wanted or, given a least, what has room by lines and messages."""
        heads = (self.site.head + 1) * sum(proxy not in self.lines for proxy in proxies)
        if self.site.pending_max and proxies and (free := self.free(rank) - heads) < want * len(proxies):
            want = int(free / len(proxies)) if least and free >= least * len(proxies) else 0
        most, since = self.site.messages_max, self.now - self.site.messages_window
        lost = since - self.patience() if most else 0
        for proxy in proxies:
            wrote = proxy.messages.count(since, lost)
            if most and proxy not in self.lines and wrote >= most - rank[1]:
                return 0
        if want:
            self.lines.update((proxy, self.lines.get(proxy, 0) + want) for proxy in proxies)
            self.booked += heads + want * len(proxies)
        return want
