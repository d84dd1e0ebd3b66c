"""A model of a backend: its cores, queue, warm-up, connection limit and faults, without I/O.

Requests wait in one queue for a core of their own, or share all cores (`sharing`). After a cold start the
speed rises linearly; with `thrash` it falls as the queue grows. A request beyond the queue's limit is
answered `full`, which proves that it never ran. `serve_flow` models the same backend for a continuous flow of
requests.
"""

import heapq
from collections import deque
from dataclasses import dataclass, field

NS_PER_SECOND = 10**9
# time over which the utilization by a flow is averaged: about ten of its steps
UTILIZATION_SMOOTHING_NS = NS_PER_SECOND


@dataclass
class Shape:
    """The properties of a machine.

    Attributes:
        cores: Number of cores.
        speed: Seconds of work that a warm core does in a second.
        queue: Maximum number of waiting requests.
        connections_max: Maximum number of connections.
        cold_speed: Share of the speed right after a cold start.
        warm_up_time: Time from a cold start to the full speed, ns.
        connect_work: Work that a new connection costs, ns.
        sharing: Whether all requests run at once and share the cores (processor sharing).
        thrash: Slowdown by waiting requests: with a full queue, work takes 1 + `thrash` times as long.
    """

    cores: int = 2
    speed: float = 1.0
    queue: int = 24
    connections_max: int = 300
    cold_speed: float = 0.2
    warm_up_time: int = 12 * NS_PER_SECOND
    connect_work: int = 2 * 10**6
    sharing: bool = False
    thrash: float = 0.0


@dataclass
class BackendFaults:
    """The current faults of a backend.

    Attributes:
        slowdown: How many times as long work takes.
        hang: Whether it accepts requests and answers none.
        error_share: Share of the requests that it answers with an error at once.
        failing_kinds: External ids of the request kinds that it answers with an error at once.
        report_factor: Factor by which its load reports are wrong.
    """

    slowdown: float = 1.0
    hang: bool = False
    error_share: float = 0.0
    failing_kinds: set = field(default_factory=set)
    report_factor: float = 1.0


@dataclass
class FlowOutcome:
    """What became of a flow's requests in one time span.

    Attributes:
        done: Share that was served.
        full: Share that was answered `full`.
        timed_out: Share whose client timeout ended before they were served.
        latency: Mean latency of the served ones, ns.
    """

    done: float
    full: float
    timed_out: float
    latency: int


class Backend:
    """A backend and its current process.

    Args:
        name: Its address.
        zone: Its zone.
        shape: A Shape.

    Attributes:
        faults: Its BackendFaults.
        state: "up", "dead", or "silent": the machine is gone, and its connections stay open without answers.
        started: When a cold process started, ns; 0 if it started long ago.
        queue: (ident, work in ns, deadline in ns or None) of each waiting request.
        busy: A heap of (end, sequence, start in ns, ident) of running requests. The end is a time in ns or,
            with `sharing`, the `attained_service` at which the request is done.
        attained_service: Core time that each request running throughout has received up to `attained_at`, ns.
        queued_work: Work of a flow that waits, ns.
        utilization: Smoothed utilization by a flow.
        used_core_time: Core time used since `reported_at`, ns.
        done: Requests completed since `reported_at`.
        load: The latest load report.
    """

    def __init__(self, name, zone, shape):
        self.name, self.zone, self.shape, self.faults = name, zone, shape, BackendFaults()
        self.state, self.started, self.sequence = "dead", 0, 0
        self.queue, self.busy, self.connections = deque(), [], 0
        self.attained_service, self.attained_at = 0.0, 0
        self.queued_work = self.utilization = 0.0
        self.used_core_time, self.reported_at, self.done, self.load = 0, 0, 0, {}

    def start(self, now, cold):
        """Starts a process at `now`, ns; if it is not `cold`, it has already warmed up."""
        self.state, self.started = "up", now if cold else 0
        self.reset_work()
        self.reported_at, self.attained_at, self.load = now, now, {}

    def reset_work(self):
        """Drops all requests, connections and counts."""
        self.queue.clear()
        self.busy.clear()
        self.connections = self.used_core_time = self.done = 0
        self.queued_work = self.utilization = 0.0

    def die(self, silent=False):
        """Ends the process; `silent`: its connections stay open without answers."""
        self.state = "silent" if silent else "dead"
        self.reset_work()

    def warm_up_factor(self, now):
        """Returns the share of its full speed that it has reached at `now`, ns."""
        if not self.started or now - self.started >= self.shape.warm_up_time:
            return 1.0
        return (
            self.shape.cold_speed
            + (1 - self.shape.cold_speed) * (now - self.started) / self.shape.warm_up_time
        )

    def capacity(self, now):
        """Returns the work that it can do at `now`, ns of work per ns."""
        capacity = self.shape.cores * self.shape.speed * self.warm_up_factor(now) / self.faults.slowdown
        if self.shape.thrash:
            capacity /= 1 + self.shape.thrash * self.waiting() / max(1, self.shape.queue)
        return capacity

    def waiting(self):
        """Returns the number of requests beyond one for each core."""
        return len(self.queue) + max(0, len(self.busy) - self.shape.cores)

    def connect(self, now):
        """Accepts a connection, which costs some work; returns False beyond the maximum."""
        if self.connections >= self.shape.connections_max:
            return False
        self.connections += 1
        self.offer(now, None, "", self.shape.connect_work, None)
        return True

    def disconnect(self):
        """A connection was closed."""
        self.connections = max(0, self.connections - 1)

    def offer(self, now, ident, kind, work, deadline, draw=1.0):
        """Accepts or rejects a request.

        Args:
            now: ns.
            ident: Identifies the request in the result of `advance`; None for work without an answer.
            kind: External id of its kind.
            work: ns of a core of speed 1.
            deadline: The request is dropped if it has not started by then, ns; None: never.
            draw: A random number from 0 to 1; below `error_share` the request fails.

        Returns:
            "full" or "error" if the request ends at once; None if it waits or runs.
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
        """Starts waiting requests on free cores; drops those past their deadline."""
        while self.queue and len(self.busy) < self.shape.cores:
            ident, work, deadline = self.queue.popleft()
            if deadline is not None and now > deadline:
                continue
            duration = int(work * self.shape.cores / self.capacity(now))
            self.sequence += 1
            heapq.heappush(self.busy, (now + duration, self.sequence, now, ident))

    def advance(self, now):
        """Returns the idents of the requests that have completed by `now`, ns, in the order of completion."""
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
        """Returns when the next running request completes, ns; None if none runs."""
        if not self.busy:
            return None
        if not self.shape.sharing:
            return self.busy[0][0]
        left = max(0.0, self.busy[0][0] - self.attained_service)
        return self.attained_at - int(-left // self.core_share(self.attained_at))

    # ---- processor sharing

    def core_share(self, now):
        """Returns the core time that each request receives, ns per ns; it uses at most one core."""
        return self.capacity(now) / max(self.shape.cores, len(self.busy))

    def offer_shared(self, now, ident, work):
        """As `offer`, with processor sharing; faults have been checked."""
        if len(self.busy) >= self.shape.cores + self.shape.queue:
            return "full"
        self.advance_service(now)
        self.sequence += 1
        heapq.heappush(self.busy, (self.attained_service + work, self.sequence, now, ident))
        return None

    def advance_service(self, now):
        """Adds the core time up to `now`, ns; requests that completed earlier must have been removed."""
        if self.busy and now > self.attained_at:
            gained = (now - self.attained_at) * self.core_share(self.attained_at)
            self.attained_service += gained
            self.used_core_time += int(gained * len(self.busy))
        self.attained_at = max(self.attained_at, now)

    def advance_shared(self, now):
        """As `advance`, with processor sharing."""
        completed = []
        while self.busy and (when := self.next_at()) <= now:
            self.advance_service(when)
            _, _, _, ident = heapq.heappop(self.busy)
            if ident is not None:
                completed.append(ident)
                self.done += 1
        self.advance_service(now)
        return [] if self.faults.hang else completed

    # ---- flows

    def serve_flow(self, now, span, requests, work, within):
        """Serves a flow of requests that arrive evenly.

        The wait is that for the work queued before, plus that of an M/M/c queue by Sakasegawa's approximation
        (1977), with the utilization limited to 0.98.

        Args:
            now: ns.
            span: How long the requests arrive, ns.
            requests: Their number, which need not be whole.
            work: Of each request, ns.
            within: Client timeout, ns.

        Returns:
            The FlowOutcome.
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
        if wait > within:  # timed out before they start: they free the queue
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
        """Returns its load report: averages that are updated at most every half second."""
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
