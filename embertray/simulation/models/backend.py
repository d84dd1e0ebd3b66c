"""A backend: cores, a queue, a cold start, a cap on connections and its ways to fail; time in, verdicts out.

Requests wait in one queue and take a core each, or share all cores (`sharing`); one that starts cold works at
a part of its speed that rises evenly, one that thrashes loses speed with what waits. Beyond the queue it
answers `full` unseen; that is proof that the request never ran. `pour` is the same machine for a flow of
requests, `Pour` tells its verdict.
"""

import heapq
from collections import deque
from dataclasses import dataclass, field

S = 10**9
SMOOTH = S  # ns over which a flow's load is averaged for its waits: some ten times its steps


@dataclass
class Shape:
    """What a machine is: `speed` is work done a second by a core; `queue` requests may wait; `cap`
    connections.
    """

    cores: int = 2
    speed: float = 1.0
    queue: int = 24
    cap: int = 300
    cold_speed: float = 0.2
    warm_up_time: int = 12 * S
    connect_work: int = 2 * 10**6  # ns of work that a new connection costs
    sharing: bool = False  # processor sharing: nothing waits, all run at once, slower
    thrash: float = 0.0  # part of its speed lost for each queue's length that waits


@dataclass
class Ills:
    """What is wrong with it now."""

    slow: float = 1.0  # x slower
    hang: bool = False  # takes work, answers nothing
    fails: float = 0.0  # share of requests answered with an error at once
    kinds: set = field(default_factory=set)  # request kinds that fail
    lies: float = 1.0  # x on its load reports


@dataclass
class Pour:
    """Of a flow in one span: parts done, answered `full`, and cut off by their time-outs; ns until the done
    were.
    """

    done: float
    full: float
    late: float
    took: int


class Backend:
    """One process of it; `start` begins a new one. States: up, dead, silent (takes nothing, answers
    nothing).
    """

    def __init__(self, name, zone, shape):
        self.name, self.zone, self.shape, self.ills = name, zone, shape, Ills()
        self.state, self.started, self.count = "dead", 0, 0
        self.queue, self.busy, self.conns = deque(), [], 0  # busy: a heap of (end, count, began, ident); with
        self.served, self.served_at = 0.0, 0  # sharing the end is in ns of core that each has had
        self.waits = self.rho = 0.0  # as a flow: ns of work that waits, how full it is
        self.worked, self.looked, self.done, self.load = 0, 0, 0, {}

    def start(self, now, cold):
        """`cold`: started now; else long ago."""
        self.state, self.started = "up", now if cold else 0
        self.clear()
        self.looked, self.served_at, self.load = now, now, {}

    def clear(self):
        self.queue.clear()
        self.busy.clear()
        self.conns = self.worked = self.done = 0
        self.waits = self.rho = 0.0

    def die(self, silent=False):
        self.state = "silent" if silent else "dead"
        self.clear()

    def warmth(self, now):
        if not self.started or now - self.started >= self.shape.warm_up_time:
            return 1.0
        return (
            self.shape.cold_speed
            + (1 - self.shape.cold_speed) * (now - self.started) / self.shape.warm_up_time
        )

    def capacity(self, now):
        """ns of work a ns that it can do now."""
        able = self.shape.cores * self.shape.speed * self.warmth(now) / self.ills.slow
        if self.shape.thrash:
            able /= 1 + self.shape.thrash * self.waiting() / max(1, self.shape.queue)
        return able

    def waiting(self):
        """Requests beyond one a core."""
        return len(self.queue) + max(0, len(self.busy) - self.shape.cores)

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
        """A request: 'full' or 'error' at once, or None: it waits or runs and `advance` gives its end.
        `until`: not begun past this time; `draw`: a number from 0 to 1 by which a failing backend errs.
        """
        if kind in self.ills.kinds or draw < self.ills.fails:
            return "error"
        if self.shape.sharing:
            return self.share(now, ident, work)
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
            heapq.heappush(self.busy, (now + took, self.count, now, ident))

    def advance(self, now):
        """Idents of requests done by now, in the order of their ends."""
        if self.shape.sharing:
            return self.advance_shared(now)
        ended = []
        while self.busy and self.busy[0][0] <= now:
            end, _, began, ident = heapq.heappop(self.busy)
            self.worked += end - began
            if ident is not None:
                ended.append(ident)
                self.done += 1
            self.fill(end)
        return [] if self.ills.hang else ended

    def next_at(self):
        """When the first that runs is done, ns; None when none runs."""
        if not self.busy:
            return None
        if not self.shape.sharing:
            return self.busy[0][0]
        left = max(0.0, self.busy[0][0] - self.served)
        return self.served_at - int(-left // self.pace(self.served_at))

    # ---- all at once, each slower

    def pace(self, now):
        """ns of a core that each request gets a ns: a whole one if there are no more of them than cores."""
        return self.capacity(now) / max(self.shape.cores, len(self.busy))

    def share(self, now, ident, work):
        if len(self.busy) >= self.shape.cores + self.shape.queue:
            return "full"
        self.serve(now)
        self.count += 1
        heapq.heappush(self.busy, (self.served + work, self.count, now, ident))
        return None

    def serve(self, now):
        """The time up to now goes to all that run. Ends before now must have been taken out."""
        if self.busy and now > self.served_at:
            gained = (now - self.served_at) * self.pace(self.served_at)
            self.served += gained
            self.worked += int(gained * len(self.busy))
        self.served_at = max(self.served_at, now)

    def advance_shared(self, now):
        ended = []
        while self.busy and (when := self.next_at()) <= now:
            self.serve(when)
            _, _, _, ident = heapq.heappop(self.busy)
            if ident is not None:
                ended.append(ident)
                self.done += 1
        self.serve(now)
        return [] if self.ills.hang else ended

    # ---- as a flow

    def pour(self, now, span, requests, work, within):
        """`requests` come evenly in `span` ns, each of `work` ns, each given up after `within` ns. Their wait
        is what stood before them, and that of M/M/c by Sakasegawa's approximation (1977) for as far as there
        is room.
        """
        if self.state != "up" or self.ills.hang:
            self.waits = 0.0
            return Pour(0.0, 0.0, 1.0, 0)
        able, cores = self.capacity(now), self.shape.cores
        service = work * cores / able
        room = self.shape.queue * work
        before = self.waits
        came = requests * (1 - self.ills.fails)
        self.waits = max(0.0, before + came * work - able * span)
        full = 0.0
        if self.waits > room:
            full = min(1.0, (self.waits - room) / (came * work)) if came else 0.0
            self.waits = room
        self.rho += (came * work / (able * span) - self.rho) * min(1.0, span / SMOOTH)
        rho = min(0.98, self.rho)
        wait = (before + self.waits) / 2 / able + service * rho ** ((2 * (cores + 1)) ** 0.5 - 1) / (
            cores * (1 - rho)
        )
        late = 0.0
        if wait > within:  # given up before they begin: they wait in vain, and free the queue
            late = 1 - full
            self.waits = min(self.waits, within * able)
        taken = came * (1 - full)
        self.worked += int(min(taken * work, able * span) / max(1e-9, able / cores))
        self.done += taken
        kept = 1 - self.ills.fails
        return Pour(kept * (1 - full - late), kept * full, kept * late, int(wait + service))

    def report(self, now):
        """Its load as it says: refreshed every half second, so late and averaged."""
        if now - self.looked >= S // 2:
            span = now - self.looked
            running = (
                0
                if self.shape.sharing
                else sum(now - max(began, self.looked) for _, _, began, _ in self.busy if now > began)
            )
            busy = min(1.0, (self.worked + running) / (span * self.shape.cores))
            self.load = {"busy": round(busy * self.ills.lies, 4), "rate": round(self.done * S / span, 3)}
            self.looked, self.worked, self.done = now, 0, 0
        return self.load
