"""A backend: cores, a queue, a cold start, a cap on connections and its ways to fail; time in, verdicts out.

Requests wait in one queue and take a core each, or share all cores (`sharing`); one that starts cold works at
a part of its speed that rises evenly, one that thrashes loses speed with what waits. Beyond the queue it
answers `full` unseen; that is proof that the request never ran. `pour` is the same machine for a flow of
requests, `Pour` tells its verdict.
"""

import heapq
from collections import deque
from dataclasses import dataclass, field

NS_PER_SECOND = 10**9
UTILIZATION_SMOOTHING_NS = (
    NS_PER_SECOND  # ns over which a flow's load is averaged for its waits: some ten times its steps
)


@dataclass
class Shape:
    """What a machine is: `speed` is work done a second by a core; `queue` requests may wait; `cap`
    connections.
    """

    cores: int = 2
    speed: float = 1.0
    queue: int = 24
    connections_max: int = 300
    cold_speed: float = 0.2
    warm_up_time: int = 12 * NS_PER_SECOND
    connect_work: int = 2 * 10**6  # ns of work that a new connection costs
    sharing: bool = False  # processor sharing: nothing waits, all run at once, slower
    thrash: float = 0.0  # part of its speed lost for each queue's length that waits


@dataclass
class BackendFaults:
    """What is wrong with it now."""

    slowdown: float = 1.0  # x slower
    hang: bool = False  # takes work, answers nothing
    error_share: float = 0.0  # share of requests answered with an error at once
    failing_kinds: set = field(default_factory=set)  # request kinds that fail
    report_factor: float = 1.0  # x on its load reports


@dataclass
class FlowOutcome:
    """Of a flow in one span: parts done, answered `full`, and cut off by their time-outs; ns until the done
    were.
    """

    done: float
    full: float
    timed_out: float
    latency: int


class Backend:
    """One process of it; `start` begins a new one. States: up, dead, silent (takes nothing, answers
    nothing).
    """

    def __init__(self, name, zone, shape):
        self.name, self.zone, self.shape, self.faults = name, zone, shape, BackendFaults()
        self.state, self.started, self.sequence = "dead", 0, 0
        self.queue, self.busy, self.connections = (
            deque(),
            [],
            0,
        )  # busy: a heap of (end, count, began, ident); with
        self.attained_service, self.attained_at = 0.0, 0  # sharing the end is in ns of core that each has had
        self.queued_work = self.utilization = 0.0  # as a flow: ns of work that waits, how full it is
        self.used_core_time, self.reported_at, self.done, self.load = 0, 0, 0, {}

    def start(self, now, cold):
        """`cold`: started now; else long ago."""
        self.state, self.started = "up", now if cold else 0
        self.reset_work()
        self.reported_at, self.attained_at, self.load = now, now, {}

    def reset_work(self):
        self.queue.clear()
        self.busy.clear()
        self.connections = self.used_core_time = self.done = 0
        self.queued_work = self.utilization = 0.0

    def die(self, silent=False):
        self.state = "silent" if silent else "dead"
        self.reset_work()

    def warm_up_factor(self, now):
        if not self.started or now - self.started >= self.shape.warm_up_time:
            return 1.0
        return (
            self.shape.cold_speed
            + (1 - self.shape.cold_speed) * (now - self.started) / self.shape.warm_up_time
        )

    def capacity(self, now):
        """ns of work a ns that it can do now."""
        capacity = self.shape.cores * self.shape.speed * self.warm_up_factor(now) / self.faults.slowdown
        if self.shape.thrash:
            capacity /= 1 + self.shape.thrash * self.waiting() / max(1, self.shape.queue)
        return capacity

    def waiting(self):
        """Requests beyond one a core."""
        return len(self.queue) + max(0, len(self.busy) - self.shape.cores)

    def connect(self, now):
        """A new connection: False past the cap. It costs a core some work."""
        if self.connections >= self.shape.connections_max:
            return False
        self.connections += 1
        self.offer(now, None, "", self.shape.connect_work, None)
        return True

    def disconnect(self):
        self.connections = max(0, self.connections - 1)

    def offer(self, now, ident, kind, work, deadline, draw=1.0):
        """A request: 'full' or 'error' at once, or None: it waits or runs and `advance` gives its end.
        `until`: not begun past this time; `draw`: a number from 0 to 1 by which a failing backend errs.
        """
        if kind in self.faults.failing_kinds or draw < self.faults.error_share:
            return "error"
        if self.shape.sharing:
            return self.offer_shared(now, ident, work)
        if len(self.busy) >= self.shape.cores and len(self.queue) >= self.shape.queue:
            return "full"
        self.queue.append((ident, work, deadline))
        self.start_queued(now)
        return None

    def start_queued(self, now):
        while self.queue and len(self.busy) < self.shape.cores:
            ident, work, deadline = self.queue.popleft()
            if deadline is not None and now > deadline:
                continue
            duration = int(work * self.shape.cores / self.capacity(now))
            self.sequence += 1
            heapq.heappush(self.busy, (now + duration, self.sequence, now, ident))

    def advance(self, now):
        """Idents of requests done by now, in the order of their ends."""
        if self.shape.sharing:
            return self.advance_shared(now)
        completed = []
        while self.busy and self.busy[0][0] <= now:
            end, _, began, ident = heapq.heappop(self.busy)
            self.used_core_time += end - began
            if ident is not None:
                completed.append(ident)
                self.done += 1
            self.start_queued(end)
        return [] if self.faults.hang else completed

    def next_at(self):
        """When the first that runs is done, ns; None when none runs."""
        if not self.busy:
            return None
        if not self.shape.sharing:
            return self.busy[0][0]
        left = max(0.0, self.busy[0][0] - self.attained_service)
        return self.attained_at - int(-left // self.core_share(self.attained_at))

    # ---- all at once, each slower

    def core_share(self, now):
        """ns of a core that each request gets a ns: a whole one if there are no more of them than cores."""
        return self.capacity(now) / max(self.shape.cores, len(self.busy))

    def offer_shared(self, now, ident, work):
        if len(self.busy) >= self.shape.cores + self.shape.queue:
            return "full"
        self.advance_service(now)
        self.sequence += 1
        heapq.heappush(self.busy, (self.attained_service + work, self.sequence, now, ident))
        return None

    def advance_service(self, now):
        """The time up to now goes to all that run. Ends before now must have been taken out."""
        if self.busy and now > self.attained_at:
            gained = (now - self.attained_at) * self.core_share(self.attained_at)
            self.attained_service += gained
            self.used_core_time += int(gained * len(self.busy))
        self.attained_at = max(self.attained_at, now)

    def advance_shared(self, now):
        completed = []
        while self.busy and (when := self.next_at()) <= now:
            self.advance_service(when)
            _, _, _, ident = heapq.heappop(self.busy)
            if ident is not None:
                completed.append(ident)
                self.done += 1
        self.advance_service(now)
        return [] if self.faults.hang else completed

    # ---- as a flow

    def serve_flow(self, now, span, requests, work, within):
        """`requests` come evenly in `span` ns, each of `work` ns, each given up after `within` ns. Their wait
        is what stood before them, and that of M/M/c by Sakasegawa's approximation (1977) for as far as there
        is room.
        """
        if self.state != "up" or self.faults.hang:
            self.queued_work = 0.0
            return FlowOutcome(0.0, 0.0, 1.0, 0)
        capacity, cores = self.capacity(now), self.shape.cores
        service = work * cores / capacity
        queue_work_max = self.shape.queue * work
        queued_before = self.queued_work
        arrived = requests * (1 - self.faults.error_share)
        self.queued_work = max(0.0, queued_before + arrived * work - capacity * span)
        full = 0.0
        if self.queued_work > queue_work_max:
            full = min(1.0, (self.queued_work - queue_work_max) / (arrived * work)) if arrived else 0.0
            self.queued_work = queue_work_max
        self.utilization += (arrived * work / (capacity * span) - self.utilization) * min(
            1.0, span / UTILIZATION_SMOOTHING_NS
        )
        utilization = min(0.98, self.utilization)
        wait = (queued_before + self.queued_work) / 2 / capacity + service * utilization ** (
            (2 * (cores + 1)) ** 0.5 - 1
        ) / (cores * (1 - utilization))
        timed_out = 0.0
        if wait > within:  # given up before they begin: they wait in vain, and free the queue
            timed_out = 1 - full
            self.queued_work = min(self.queued_work, within * capacity)
        accepted = arrived * (1 - full)
        self.used_core_time += int(min(accepted * work, capacity * span) / max(1e-9, capacity / cores))
        self.done += accepted
        error_free = 1 - self.faults.error_share
        return FlowOutcome(
            error_free * (1 - full - timed_out),
            error_free * full,
            error_free * timed_out,
            int(wait + service),
        )

    def report(self, now):
        """Its load as it says: refreshed every half second, so late and averaged."""
        if now - self.reported_at >= NS_PER_SECOND // 2:
            span = now - self.reported_at
            running = (
                0
                if self.shape.sharing
                else sum(now - max(began, self.reported_at) for _, _, began, _ in self.busy if now > began)
            )
            busy = min(1.0, (self.used_core_time + running) / (span * self.shape.cores))
            self.load = {
                "busy": round(busy * self.faults.report_factor, 4),
                "rate": round(self.done * NS_PER_SECOND / span, 3),
            }
            self.reported_at, self.used_core_time, self.done = now, 0, 0
        return self.load
