from collections import deque
from statistics import median
from zlib import crc32

from embertray.policy.records.levels import Level

from .actor import c, i
from .channel import Channel
from .levels import Levels
from .list_watcher import ListWatcher
from .planner import Planner
from .proxy import Proxy


class Controller:
    """One instance. step() puts events into inboxes, empties them in one loop and returns the orders."""

    def __init__(self, seed, site, now=0):
        self.site, self.now, self.born, self.orders, self.seed, self.draws = site, now, now, [], seed, 0
        self.ready, self.backends, self.proxies, self.spans = deque(), [], [], deque(maxlen=c.KEEP)
        self.beat_at, self.forget_at, self.reports_busy = 0, now + c.SWEEP, False
        self.all_in = c.ALL_RATE if site.throttle == "rate" else 1.0
        self.timeout = max((k.client_timeout for k in site.kinds), default=c.S)
        worth = sum(kind.credit for kind in site.kinds) or 1
        self.target = sum(kind.credit * kind.response_target for kind in site.kinds) / worth
        self.table = {kind: Level(self.all_in, 1) for kind in site.kinds}
        self.list_watcher, self.planner, self.levels = ListWatcher(self), Planner(self), Levels(self)
        self.channel = Channel(self)

    joined = property(lambda self: [proxy for proxy in self.proxies if proxy.joined])

    def part(self, handle, kind, known):
        if handle.actor is None:
            handle.actor = kind(self, handle)
            known.append(handle.actor)
        return handle.actor

    def chance(self):
        self.draws += 1
        return crc32(f"{self.seed}:{self.draws}".encode())

    def step(self, now, events):
        self.now, self.orders = now, []
        for event in events:
            self.route(event)
        self.empty()  # cycle: of reports on a backend, longer than told where they are capped
        self.cycle = max(self.site.report_cycle, median(self.spans or [0]))
        if now >= self.beat_at:
            self.beat_at = now + c.BEAT
            self.orders.append(i.Wake(0, c.BEAT))
            self.forget()
            self.list_watcher.send("beat")
            self.planner.send("solve")
        elif self.channel.urgent:  # a join or removal waits for no weights
            self.channel.send("send", None)
        self.empty()
        return self.orders

    def route(self, event):
        """To the part an event is for. With slices only removals are ordered."""
        if isinstance(event, i.ListNews):
            self.list_watcher.send("news", event)
        elif isinstance(event, i.Heard) and event.backend.actor:
            event.backend.actor.send("heard", event)
        elif isinstance(event, (i.Arrivals, i.Joined, i.Left, i.Answered)):
            self.part(event.proxy, Proxy, self.proxies).send(type(event).__name__.lower(), event)

    def empty(self):
        while self.ready:
            part = self.ready.popleft()
            note, what = part.inbox.popleft()
            getattr(part, "on_" + note)(*what)

    def forget(self):
        """Guards against growth with all that ever was: by churn of proxies and backends over hours."""
        if self.now < self.forget_at:
            return
        self.forget_at = self.now + c.SWEEP
        for table in self.channel.tables:
            table.compact()
        for known in (self.backends, self.proxies):
            for part in [p for p in known if p.gone_at is not None and self.now - p.gone_at > c.FORGET]:
                if self.channel.drop(part):
                    part.handle.actor = None
                    known.remove(part)
