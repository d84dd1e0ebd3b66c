"""What the sockets of proxies, backends and the inventory carried, in order of time: one list of events.

Everything here is seen at the stand-ins' ends of streams. The controller is never asked.
"""

from collections import namedtuple

Event = namedtuple("Event", "at what who rest")


class Observer:
    """`events`: Event(at ns, what, who, rest). Outcomes of clients' requests stand in `reqs`."""

    def __init__(self):
        self.events, self.reqs, self.over = [], [], False

    def note(self, at, what, who, *rest):
        if not self.over:
            self.events.append(Event(at, what, who, rest))

    def end(self, at):
        """The day is over: what is taken down now says nothing of it."""
        self.note(at, "end", "")
        self.over = True

    # from proxies
    def joined(self, at, proxy, controller):
        self.note(at, "joined", proxy, controller)

    def left(self, at, proxy):
        self.note(at, "left", proxy)

    def orders(self, at, proxy, orders):
        self.note(at, "orders", proxy, orders)

    def applied(self, at, proxy, orders):
        self.note(at, "applied", proxy, orders)

    def sent(self, at, proxy, backend, req, key):
        self.note(at, "sent", proxy, backend, req, key)

    def failed(self, at, proxy, backend, key, how):
        self.note(at, "failed", proxy, backend, key, how)

    # from the inventory
    def told(self, at, controller, news):
        self.note(at, "told", controller, news)

    # from backends
    def got(self, at, backend, req):
        self.note(at, "got", backend, req)

    # from clients
    def ended(self, now, at, kind, how, took):
        self.reqs.append((at, kind, how, took))
