"""What the sockets showed of a controller and of a proxy so far: the state that the rules are judged on."""

from collections import deque

from embertray.controller.stream.routing_state import RoutingState


class BackendNotice:
    """The last state of one backend that a controller was notified of.

    Args:
        state: the entry's state: ready, draining or gone.
        started: when the backend started, ns; 0 if unknown.
        notified_at: since when the controller knows of the state, ns.
        start_known_at: since when it knows of this start of the backend, ns.
    """

    __slots__ = ("state", "started", "notified_at", "start_known_at")

    def __init__(self, state, started, notified_at, start_known_at):
        self.state = state
        self.started = started
        self.notified_at = notified_at
        self.start_known_at = start_known_at


class ObservedController:
    """One incarnation of a controller, as the sockets show it.

    Args:
        started_at: when it was first seen, ns.
    """

    def __init__(self, started_at):
        self.notices = {}  # backend -> BackendNotice
        self.frozen = False
        self.frozen_at = 0
        self.deferred_news = []  # endpoint lists that reached it while it was frozen
        self.pace = 1.0  # share of the channel's rate that it runs at
        self.slow_until = started_at  # when the pace was last raised to the full rate, ns
        self.slowest_factor = 1.0  # how much longer everything took at the pace before
        self.messages = []  # (stamp ns, seen ns, cost in lines)

    def time_factor(self, since):
        """How much the limits grow for a wait that began at `since` ns, because the channel was slowed."""
        if self.pace < 1:
            return 1 / self.pace
        return self.slowest_factor if since <= self.slow_until else 1.0


class ObservedProxy:
    """A proxy, as the sockets show it.

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
        self.excused_until = 0  # ns; until then it catches up after a stand-still of its own
        self.unresponsive = False  # stands still or does not read, by its own fault
        self.message_times = deque()  # when messages were written to it within the window, ns
        self.awaited = {}  # backend that left the list -> when its controller was notified, ns
