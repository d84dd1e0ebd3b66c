"""The relay's news of proxies: News cuts one connection's event stream into events; Standing makes one story
of several such connections, of which any may break."""

from collections import namedtuple
from urllib.parse import parse_qsl

from .calls import Unreadable
from .limits import EVENT_MOST, MS, OPENING, QUIET_BESIDE, QUIET_MOST, SAME_WITHIN

STREAM = "/api/stream"

Attach = namedtuple("Attach", "proxy zone rate fresh")
Detach = namedtuple("Detach", "proxy")
Done = namedtuple("Done", "proxy nonce took")  # took in ns


class News:
    """One connection's event stream: bytes in, Attach, Detach and Done out; what has a meaning for nobody is
    skipped.
    """

    def __init__(self, zones, proxies):
        self.zones, self.proxies, self.held, self.kind, self.data, self.skipped = (
            zones,
            proxies,
            b"",
            "",
            "",
            0,
        )

    def receive(self, data):
        """The events that `data` completes. Raises Unreadable."""
        lines = (self.held + data).split(b"\n")
        self.held = lines.pop()
        if len(self.held) + len(self.data) > EVENT_MOST:
            raise Unreadable("an event without end")
        found = []
        for line in lines:
            try:
                name, _, value = line.rstrip(b"\r").decode().partition(":")
            except UnicodeDecodeError as wrong:
                raise Unreadable(str(wrong)) from None
            value = value.removeprefix(" ")
            if name == "event":
                self.kind = value
            elif name == "data":
                self.data += "&" * bool(self.data) + value
            elif not name and not value and (self.kind or self.data):
                kind, data, self.kind, self.data = self.kind, self.data, "", ""
                event = self.event(kind, dict(parse_qsl(data)))
                if event:
                    found.append(event)
                else:
                    self.skipped += 1
        return found

    def event(self, kind, got):
        try:
            proxy = int(got["node"])
            if not 0 <= proxy < self.proxies:
                return None
            if kind == "attach":
                rate = float(got.get("w", 0))
                good = got["locality"] in self.zones and 0 <= rate < float("inf")
                return Attach(proxy, got["locality"], rate, got.get("cold") == "1") if good else None
            if kind == "detach":
                return Detach(proxy)
            if kind == "done":
                return Done(proxy, int(got["nonce"]), max(0, round(float(got.get("latency", 0)) * MS)))
        except (KeyError, ValueError, OverflowError):
            pass
        return None


class View:
    """What one connection has told: who is joined, and when that came, if after the opening."""

    __slots__ = ("first", "last", "joined", "at", "named")

    def __init__(self, now):
        self.first, self.last, self.joined, self.at, self.named = None, now, {}, {}, set()

    def take(self, now, event):
        if isinstance(event, Attach):
            # the second time that it is named it has left and come back, be it during the opening
            again = event.proxy in self.named
            self.named.add(event.proxy)
            self.joined[event.proxy] = event
            self.at[event.proxy] = now if again or self.opened(now) else 0
        elif isinstance(event, Detach):
            self.joined.pop(event.proxy, None)
            self.at.pop(event.proxy, None)

    def opened(self, now):
        return self.first is not None and now >= self.first + OPENING


class Standing:
    """Who is joined, by the news of one connection at a time, the leader; when it is lost another takes over,
    and what the two differ in is told. Answers to nonces count from whichever connection brings them."""

    def __init__(self):
        self.views, self.leader, self.joined, self.at, self.dark = (
            {},
            None,
            {},
            {},
            0,
        )  # dark: since when nobody leads

    def opened(self, now, conn):
        self.views[conn] = View(now)

    def took(self, now, conn, events):
        """Bytes came on a connection (perhaps only a sign of life). The events that are news."""
        view = self.views[conn]
        view.last = now
        view.first = now if view.first is None else view.first
        found = []
        for event in events:
            view.take(now, event)
            if isinstance(event, Done):
                if event.proxy in self.joined:
                    found.append(event)
            elif conn is self.leader:
                found += self.tell(now, event)
        return found + self.lead(now)

    def tell(self, now, event):
        found = []
        if event.proxy in self.joined:
            del self.joined[event.proxy]
            found.append(Detach(event.proxy))
        if isinstance(event, Attach):
            self.joined[event.proxy], self.at[event.proxy] = event, now
            found.append(event)
        else:
            self.at.pop(event.proxy, None)
        return found

    def lost(self, now, conn):
        """A connection is gone. The events that are news."""
        self.views.pop(conn, None)
        if conn is self.leader:
            self.leader, self.dark = None, now
        return self.lead(now)

    def lead(self, now):
        """A connection that has told all that stands leads, if none does: the one that has been there
        longest. If nobody was there meanwhile, whoever holds no ordered table now has left and come back, or
        was not bound yet."""
        if self.leader in self.views:
            return []
        ready = [conn for conn, view in self.views.items() if view.opened(now)]
        if not ready:
            return []
        self.leader = min(ready, key=lambda conn: self.views[conn].first)
        view, found = self.views[self.leader], []
        gap = view.first > self.dark
        for proxy in [p for p in self.joined if p not in view.joined]:
            found += self.tell(now, Detach(proxy))
        for proxy, event in view.joined.items():
            known = self.joined.get(proxy)
            anew = view.at[proxy] > self.at.get(proxy, 0) + SAME_WITHIN or gap and event.fresh
            if known is None or known.zone != event.zone or anew:
                found += self.tell(now, event)
        return found

    def next_at(self):
        """When a connection has told all that stands and may lead, ns or None."""
        if self.leader in self.views:
            return None
        return min((v.first + OPENING for v in self.views.values() if v.first is not None), default=None)

    def quiet(self, now, conn):
        """Why a connection is to be given up, or "": it brings nothing any more."""
        last = self.views[conn].last
        if now - last > QUIET_MOST:
            return "silent"
        others = max((v.last for c, v in self.views.items() if c is not conn), default=0)
        if now - last > QUIET_BESIDE and others > last + QUIET_BESIDE // 2:
            return "silent while another brings news"
        return ""
