"""The state of controllers and proxies as observed on sockets, on which the rules are judged."""

from collections import deque

from embertray.controller.stream.routing_state import RoutingState


class BackendNotice:
    """The last state of one backend that a controller was notified of.

    Args:
        state: the entry's state: ready, draining or gone.
        started: when the backend started, ns; 0 if unknown.
        notified_at: when the controller was notified of the state, ns.
        start_known_at: when it was notified of this start of the backend, ns.
    """

    __slots__ = ("state", "started", "notified_at", "start_known_at")

    def __init__(self, state, started, notified_at, start_known_at):
        self.state = state
        self.started = started
        self.notified_at = notified_at
        self.start_known_at = start_known_at


class ObservedController:
    """One incarnation of a controller, as observed on sockets.

    Args:
        started_at: when it was first observed, ns.
    """

    def __init__(self, started_at):
        self.notices = {}  # backend -> BackendNotice
        self.frozen = False
        self.frozen_at = 0
        self.deferred_news = []  # endpoint lists that reached it while it was frozen
        self.pace = 1.0  # share of the channel's rate
        self.slow_until = started_at  # when the pace was last raised to the full rate, ns
        self.slowest_factor = 1.0  # factor by which time limits grew at the previous pace
        self.messages = []  # (time of the order in ns, arrival in ns, cost in lines)

    def time_factor(self, since):
        """Returns the factor of time limits for a wait since `since`, ns, on a channel that was slowed."""
        if self.pace < 1:
            return 1 / self.pace
        return self.slowest_factor if since <= self.slow_until else 1.0


class ObservedProxy:
    """A proxy, as observed on sockets.

    Args:
        name: the proxy's name.
        standing: names of the backends in its standing table.
    """

    def __init__(self, name, standing):
        self.name = name
        self.routing_state = RoutingState(standing)
        self.controller = None  # the ObservedController that it joined, or None
        self.joined_at = 0
        self.without_line_since = None  # ns; None while it has a line to pick
        self.newest_stamp = -1  # stamp of the newest message that it applied, ns
        self.excused_until = 0  # ns; until then it catches up after a pause
        self.unresponsive = False  # paused or does not read, because of a fault of its own
        self.message_times = deque()  # when messages were written to it within the window, ns
        self.awaited = {}  # backend that it has to drop -> when its controller was notified, ns
