"""The relay: calls with orders and their answers, and its news of proxies.

Caller has one call in flight and says what an answer, or none, means; News cuts one connection's event stream into
events; Standing makes one story of several such connections, of which any may break.
"""
from collections import deque, namedtuple
from urllib.parse import parse_qsl, urlencode
from xml.etree import ElementTree

from .limits import (AGAIN_FIRST, AGAIN_MOST, ANSWER_MOST, EVENT_MOST, EVIDENCE, MS, OPENING, ORDERS_MOST, QUIET_BESIDE,
                     QUIET_MOST, REJECTS_MOST, SAME_WITHIN)

CALLS, STREAM = "/api/", "/api/stream"
FORM = "application/x-www-form-urlencoded"

Attach = namedtuple("Attach", "proxy zone rate fresh")
Detach = namedtuple("Detach", "proxy")
Done = namedtuple("Done", "proxy mark took")        # took in ns


class Unreadable(ValueError):
    """What came can't be read; the connection is of no further use."""


# ---- calls

def verdict(status, body):
    """('taken', how many orders) | ('error', its word). Raises Unreadable."""
    if len(body) > ANSWER_MOST:
        raise Unreadable(f"an answer of {len(body)} bytes")
    try:
        root = ElementTree.fromstring(body)
    except (ElementTree.ParseError, ValueError, LookupError) as wrong:
        raise Unreadable(str(wrong)) from None
    found = root.findall("./items/item/ok_count")
    if status == 200 and root.tag == "Response" and len(found) == 1 and (found[0].text or "").strip().isdigit():
        return "taken", int(found[0].text)
    for part in root.iter():        # the error's word stands in an element, whichever
        word = (part.text or "").strip()
        if part.tag.rpartition("}")[2].lower() in ("code", "error") and word.isalpha() and len(word) < 64:
            return "error", word.lower()
    raise Unreadable(f"status {status} and neither orders taken nor an error")


class Call:
    """One step's orders, or the rest of them; `mark`: the number that the proxies answer, or None."""

    __slots__ = ("orders", "mark", "rejects")

    def __init__(self, orders, mark=None):
        self.orders, self.mark, self.rejects = orders, mark, 0

    def body(self):
        return urlencode({"Action": "CommitChanges", "orders": ";".join(self.orders)}).encode()


class Caller:
    """`way`: the longest that a message takes to a proxy, ns. A call is `due(now)`, goes out, and one of `answered`, `broke`
    ends it. Unanswered ones were carried out or not: the answer to the call's mark tells; without it for long enough the
    call goes out again, which changes nothing twice, as every order names what is to stand."""

    def __init__(self, way):
        self.way, self.queue, self.at, self.doubt, self.seen, self.fails = way, deque(), 0, False, False, 0
        self.refused, self.lost, self.again = [], 0, 0      # orders not taken; calls given up; calls sent again

    @property
    def idle(self):
        return not self.queue

    def put(self, orders, mark=None, sync=None):
        """A step's orders as text, in order; `sync`: builds the order for an answer, given 1 for all proxies."""
        part, size = [], 0
        for order in orders:
            if size + len(order) + 1 > ORDERS_MOST - 64:
                self.queue.append(Call(part))
                part, size = [], 0
            part.append(order)
            size += len(order) + 1
        if sync:
            # in several calls the last one's answer stands for all: it goes to every proxy
            part.append(sync(int(len(orders) > len(part))))
        if part:
            self.queue.append(Call(part, mark))

    def due(self, now):
        """The Call to send now, or None."""
        if not self.queue or now < self.at:
            return None
        if self.doubt and self.seen:
            self.done()
            return self.due(now)
        self.again += self.doubt
        self.doubt = self.seen = False
        return self.queue[0]

    def done(self):
        self.queue.popleft()
        self.doubt, self.seen, self.fails, self.at = False, False, 0, 0

    def saw(self, mark):
        """A proxy answered this mark: the call that carried it was carried out. True if one waited for that."""
        if self.queue and self.queue[0].mark is not None and self.queue[0].mark == mark:
            self.seen = True
            if self.doubt:
                self.at = 0
                return True
        return False

    def answered(self, now, status, body):
        """The whole answer came. A short text for the log if something was amiss."""
        call = self.queue[0]
        try:
            what, value = verdict(status, body)
        except Unreadable as wrong:
            return self.broke(now, True, f"unreadable answer: {wrong}")
        if what == "taken" and value >= len(call.orders):
            self.done()
            return ""
        if what == "taken":
            self.refused.append(call.orders[value])
            rest = call.orders[value + 1:]
            if value and rest and call.mark is not None:
                rest[-1] = rest[-1].rpartition(",")[0] + ",1"       # those who got the first part are to answer, too
            call.orders = rest
            if not rest:
                self.done()
            return f"order {value + 1} was refused: {self.refused[-1]}"
        if value != "throttled":
            call.rejects += 1
            if value == "invalid" or call.rejects > REJECTS_MOST:
                self.lost += 1
                self.done()
                return f"call given up: {value}"
        self.later(now)
        return f"call rejected: {value}"

    def broke(self, now, sent, why):
        """No answer. `sent`: the call's last byte had gone, so it may have been carried out."""
        if not sent:
            self.later(now)
        elif self.queue[0].mark is None:
            self.again += 1
            self.later(now)
        else:
            self.doubt, self.at = True, 0 if self.seen else now + self.way + EVIDENCE
        return why

    def later(self, now):
        self.at = now + min(AGAIN_MOST, AGAIN_FIRST << min(self.fails, 6))
        self.fails += 1


# ---- news

class News:
    """One connection's event stream: bytes in, Attach, Detach and Done out; what has a meaning for nobody is skipped."""

    def __init__(self, zones, proxies):
        self.zones, self.proxies, self.held, self.kind, self.data, self.skipped = zones, proxies, b"", "", "", 0

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

    __slots__ = ("first", "last", "joined", "at")

    def __init__(self, now):
        self.first, self.last, self.joined, self.at = None, now, {}, {}

    def take(self, now, event):
        if isinstance(event, Attach):
            self.joined[event.proxy] = event
            self.at[event.proxy] = now if self.opened(now) else 0
        elif isinstance(event, Detach):
            self.joined.pop(event.proxy, None)
            self.at.pop(event.proxy, None)

    def opened(self, now):
        return self.first is not None and now >= self.first + OPENING


class Standing:
    """Who is joined, by the news of one connection at a time, the leader; when it is lost another takes over, and what
    the two differ in is told. Answers to marks count from whichever connection brings them."""

    def __init__(self):
        self.views, self.leader, self.joined, self.at, self.gap = {}, None, {}, {}, 0

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
            self.leader = None
        return self.lead(now)

    def lead(self, now):
        """A connection that has told all that stands leads, if none does: the one that has been there longest."""
        if self.leader in self.views:
            return []
        ready = [conn for conn, view in self.views.items() if view.opened(now)]
        if not ready:
            return []
        self.leader = min(ready, key=lambda conn: self.views[conn].first)
        view, found = self.views[self.leader], []
        for proxy in [p for p in self.joined if p not in view.joined]:
            found += self.tell(now, Detach(proxy))
        for proxy, event in view.joined.items():
            known = self.joined.get(proxy)
            if known is None or known.zone != event.zone or view.at[proxy] > self.at[proxy] + SAME_WITHIN:
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
