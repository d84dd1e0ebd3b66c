"""What the sockets of proxies, backends and the inventory carried, in order of time: one list of events.

Everything here is seen at the stand-ins' ends of streams. The controller is never asked.
"""

from typing import NamedTuple


class Event(NamedTuple):
    """One thing that was seen. `lab show --events` prints these words; they stay as they are.

    Attributes:
        at: when, ns.
        what: its kind: joined, left, orders, applied, sent, failed, told, got, end, or what a fault notes.
        who: the proxy, backend or controller that it is about.
        rest: what else was seen, by kind.
    """

    at: int
    what: str
    who: str
    rest: tuple


class RequestOutcome(NamedTuple):
    """How a client's request ended.

    Attributes:
        at: when it came, ns.
        kind: its RequestKind.
        outcome: done, late or lost.
        latency_ns: how long it took, ns; 0 if lost.
    """

    at: int
    kind: object
    outcome: str
    latency_ns: int


class Observer:
    """Gathers what the stand-ins see.

    Attributes:
        events: Event by Event, in order of time.
        outcomes: RequestOutcome by RequestOutcome, as requests ended.
        over: whether the day is over; nothing is noted from then on.
    """

    def __init__(self):
        self.events = []
        self.outcomes = []
        self.over = False

    def note(self, at, what, who, *rest):
        """Notes an event at `at` ns, unless the day is over."""
        if not self.over:
            self.events.append(Event(at, what, who, rest))

    def end(self, at):
        """The day is over at `at` ns: what is taken down from then on is not the controller's doing."""
        self.note(at, "end", "")
        self.over = True

    def joined(self, at, proxy, controller):
        """A proxy got the welcome of a controller."""
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
        """A client's request, which came at `at` ns, ended at `now` ns."""
        self.outcomes.append(RequestOutcome(at, kind, outcome, latency_ns))
