"""Records what the sockets of proxies, backends and the inventory carried, as events in order of time.

All events are observed at the stand-ins; none comes from the controller.
"""

from typing import NamedTuple


class Event(NamedTuple):
    """One observed event. `lab show --events` prints `what`, whose values are therefore fixed.

    Attributes:
        at: when, ns.
        what: its kind: joined, left, orders, applied, sent, failed, told, got, end, or one that faults, links
            or starts of backends note.
        who: the proxy, backend or controller that it is about.
        rest: further values, depending on the kind.
    """

    at: int
    what: str
    who: str
    rest: tuple


class RequestOutcome(NamedTuple):
    """How a client's request ended.

    Attributes:
        at: when it arrived, ns.
        kind: its RequestKind.
        outcome: done, late or lost.
        latency_ns: its latency, ns; 0 if lost.
    """

    at: int
    kind: object
    outcome: str
    latency_ns: int


class Observer:
    """Records what the stand-ins observe.

    Attributes:
        events: the Events, in order of time.
        outcomes: the RequestOutcomes, in order of the ends.
        over: whether the day is over; later events are not recorded.
    """

    def __init__(self):
        self.events = []
        self.outcomes = []
        self.over = False

    def note(self, at, what, who, *rest):
        """Records an event at `at` ns, unless the day is over."""
        if not self.over:
            self.events.append(Event(at, what, who, rest))

    def end(self, at):
        """The day is over at `at` ns; the shutdown that follows is not recorded."""
        self.note(at, "end", "")
        self.over = True

    def joined(self, at, proxy, controller):
        """A proxy was welcomed by a controller."""
        self.note(at, "joined", proxy, controller)

    def left(self, at, proxy):
        """A proxy's stream to its controller ended."""
        self.note(at, "left", proxy)

    def orders(self, at, proxy, orders):
        """An Orders message arrived at a proxy."""
        self.note(at, "orders", proxy, orders)

    def applied(self, at, proxy, orders):
        """A proxy applied an Orders message."""
        self.note(at, "applied", proxy, orders)

    def sent(self, at, proxy, backend, request, key):
        """A proxy sent an attempt of a request; `key` is (identifier, attempt) of the client's request."""
        self.note(at, "sent", proxy, backend, request, key)

    def failed(self, at, proxy, backend, key, how):
        """An attempt failed at a backend; `how`: refused, full, broken, ..."""
        self.note(at, "failed", proxy, backend, key, how)

    def told(self, at, controller, news):
        """The inventory answered a controller with an endpoint list or with changes to one."""
        self.note(at, "told", controller, news)

    def got(self, at, backend, request):
        """A request arrived at a backend."""
        self.note(at, "got", backend, request)

    def ended(self, now, at, kind, outcome, latency_ns):
        """A client's request, which arrived at `at` ns, ended at `now` ns."""
        self.outcomes.append(RequestOutcome(at, kind, outcome, latency_ns))
