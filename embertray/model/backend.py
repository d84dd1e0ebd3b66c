"""A backend: cores, a queue, a cold start, a cap on connections and its ways to fail; time in, verdicts out.

Reqs wait in one queue and take a core each; one that starts cold works at a part of its speed that rises evenly.
Beyond the queue it answers `full` unseen; that is proof that the req never ran.
"""
from collections import deque
from dataclasses import dataclass, field

S = 10**9


@dataclass
class Shape:
    """What a machine is: `speed` is work done a second by a core; `queue` reqs may wait; `cap` connections."""
    cores: int = 2
    speed: float = 1.0
    queue: int = 24
    cap: int = 300
    cold_from: float = 0.2
    warm_after: int = 12 * S
    connect_work: int = 2 * 10**6       # ns of work that a new connection costs


@dataclass
class Ills:
    """What is wrong with it now."""
    slow: float = 1.0                   # x slower
    hang: bool = False                  # takes work, answers nothing
    fails: float = 0.0                  # share of reqs answered with an error at once
    kinds: set = field(default_factory=set)     # request kinds that fail
    lies: float = 1.0                   # x on its load reports


class Backend:
    """One process of it; `start` begins a new one. States: up, dead, silent (takes nothing, answers nothing)."""

    def __init__(self, name, zone, shape):
        self.name, self.zone, self.shape, self.ills = name, zone, shape, Ills()
        self.state, self.started, self.count = "dead", 0, 0
        self.queue, self.busy, self.conns = deque(), {}, 0
        self.worked, self.looked, self.done, self.load = 0, 0, 0, {}

    def start(self, now, cold):
        """`cold`: started now; else long ago."""
        self.state, self.started = "up", now if cold else 0
        self.clear()
        self.looked, self.load = now, {}

    def clear(self):
        self.queue.clear()
        self.busy.clear()
        self.conns = self.worked = self.done = 0

    def die(self, silent=False):
        self.state = "silent" if silent else "dead"
        self.clear()

    def warmth(self, now):
        if not self.started or now - self.started >= self.shape.warm_after:
            return 1.0
        return self.shape.cold_from + (1 - self.shape.cold_from) * (now - self.started) / self.shape.warm_after

    def capacity(self, now):
        """ns of work a ns that it can do now."""
        return self.shape.cores * self.shape.speed * self.warmth(now) / self.ills.slow

    def connect(self, now):
        """A new connection: False past the cap. It costs a core some work."""
        if self.conns >= self.shape.cap:
            return False
        self.conns += 1
        self.offer(now, None, "", self.shape.connect_work, None)
        return True

    def closed(self):
        self.conns = max(0, self.conns - 1)

    def offer(self, now, ident, kind, work, until, draw=1.0):
        """A req: 'full' or 'error' at once, or None: it waits or runs and `advance` gives its end. `until`: not
        begun past this time; `draw`: a number from 0 to 1 by which a failing backend errs."""
        if kind in self.ills.kinds or draw < self.ills.fails:
            return "error"
        if len(self.busy) >= self.shape.cores and len(self.queue) >= self.shape.queue:
            return "full"
        self.queue.append((ident, work, until))
        self.fill(now)
        return None

    def fill(self, now):
        while self.queue and len(self.busy) < self.shape.cores:
            ident, work, until = self.queue.popleft()
            if until is not None and now > until:
                continue
            took = int(work * self.shape.cores / self.capacity(now))
            self.count += 1
            self.busy[self.count] = (now + took, now, ident)

    def advance(self, now):
        """Idents of reqs done by now, in the order of their ends."""
        ended = []
        while self.busy:
            key, (end, began, ident) = min(self.busy.items(), key=lambda item: item[1][0])
            if end > now:
                break
            del self.busy[key]
            self.worked += end - began
            if ident is not None:
                ended.append(ident)
                self.done += 1
            self.fill(end)
        return [] if self.ills.hang else ended

    def next_at(self):
        return min((end for end, _, _ in self.busy.values()), default=None)

    def report(self, now):
        """Its load as it says: refreshed every half second, so late and averaged."""
        if now - self.looked >= S // 2:
            span = now - self.looked
            running = sum(now - max(began, self.looked) for _, began, _ in self.busy.values() if now > began)
            busy = min(1.0, (self.worked + running) / (span * self.shape.cores))
            self.load = {"busy": round(busy * self.ills.lies, 4), "rate": round(self.done * S / span, 3)}
            self.looked, self.worked, self.done = now, 0, 0
        return self.load
