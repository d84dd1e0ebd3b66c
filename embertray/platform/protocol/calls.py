"""Calls with orders to the relay, and what an answer, or none, means. One call is in flight at a time."""

from collections import deque
from urllib.parse import urlencode
from xml.etree import ElementTree

import msgspec

from .limits import (
    AGAIN_FIRST,
    AGAIN_MOST,
    ANSWER_MOST,
    COUNT_DIGITS,
    ERROR_WORD_MOST,
    EVIDENCE,
    NAMED_MOST,
    ORDERS_MOST,
    REJECTS_MOST,
)

CALLS = "/api/"
FORM = "application/x-www-form-urlencoded"
THROTTLED, INVALID = "throttled", "invalid"  # the errors that the protocol names
ERROR_ELEMENTS = ("code", "error")  # elements of an answer that hold an error's word


class Unreadable(ValueError):
    """What came can't be read; the connection is of no further use."""


class Taken(msgspec.Struct, frozen=True):
    """The relay took so many orders of a call, counting from the first."""

    count: int


class Rejected(msgspec.Struct, frozen=True):
    """The relay took no order of a call; `word` names its error."""

    word: str


def read_answer(status, body):
    """The relay's answer as Taken or Rejected. Raises Unreadable."""
    if len(body) > ANSWER_MOST:
        raise Unreadable(f"an answer of {len(body)} bytes")
    try:
        root = ElementTree.fromstring(body)
    except (ElementTree.ParseError, ValueError, LookupError) as wrong:
        raise Unreadable(str(wrong)) from None
    found = root.findall("./items/item/ok_count")
    if status == 200 and root.tag == "Response" and len(found) == 1:
        count = (found[0].text or "").strip()
        # isascii: against digits that int() takes for none
        if count.isascii() and count.isdigit() and len(count) <= COUNT_DIGITS:
            return Taken(int(count))
    for part in root.iter():  # the error's word stands in an element, whichever
        word = (part.text or "").strip()
        name = part.tag.rpartition("}")[2].lower()
        if name in ERROR_ELEMENTS and word.isalpha() and len(word) <= ERROR_WORD_MOST:
            return Rejected(word.lower())
    raise Unreadable(f"status {status} and neither orders taken nor an error")


def asked_of_all(sync):
    """The order for an answer, to all proxies: who got an earlier part of the step is to answer, too."""
    return sync.rpartition(",")[0] + ",1"


class Call:
    """One step's orders, or the rest of them; `nonce`: the number that the proxies answer, or None;
    `rejects`: errors that it got; `halved`: it is a part of one that was never taken.
    """

    __slots__ = ("orders", "nonce", "rejects", "halved")

    def __init__(self, orders, nonce=None, rejects=0, halved=False):
        self.orders, self.nonce, self.rejects, self.halved = orders, nonce, rejects, halved

    def body(self):
        return urlencode({"Action": "CommitChanges", "orders": ";".join(self.orders)}).encode()


class Caller:
    """`way`: the longest that a message takes to a proxy, ns. A call is `due(now)`, goes out, and one of
    `answered`, `broke` ends it. Unanswered ones were carried out or not: the answer to the call's nonce
    tells; without it for long enough the call goes out again, which changes nothing twice, as every order
    names what is to stand."""

    def __init__(self, way):
        self.way, self.queue, self.at, self.doubt, self.seen, self.fails = way, deque(), 0, False, False, 0
        self.refused, self.lost, self.again = [], 0, 0  # orders not taken; orders given up; calls sent again

    @property
    def idle(self):
        return not self.queue

    def put(self, orders, nonce=None, sync=None):
        """A step's orders as text, in order; `sync`: builds the order for an answer, given 1 for all
        proxies.
        """
        part, size = [], 0
        for order in orders:
            taken = len(order.encode()) + 1  # the relay counts bytes: names may have longer characters
            if part and size + taken > ORDERS_MOST - 64:
                self.queue.append(Call(part))
                part, size = [], 0
            part.append(order)
            size += taken
        if sync:
            # in several calls the last one's answer stands for all: it goes to every proxy
            part.append(sync(int(len(orders) > len(part))))
        if part:
            self.queue.append(Call(part, nonce))

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

    def saw(self, nonce):
        """A proxy answered this nonce: the call that carried it was carried out. True if one waited for
        that.
        """
        if self.queue and self.queue[0].nonce is not None and self.queue[0].nonce == nonce:
            self.seen = True
            if self.doubt:
                self.at = 0
                return True
        return False

    def answered(self, now, status, body):
        """The whole answer came. A short text for the log if something was amiss."""
        try:
            answer = read_answer(status, body)
        except Unreadable as wrong:
            return self.broke(now, True, f"unreadable answer: {wrong}")
        if isinstance(answer, Rejected):
            return self.rejected(now, answer.word)
        return self.taken(now, answer.count)

    def taken(self, now, count):
        call = self.queue[0]
        if count > len(call.orders):  # more than it was sent: the count is spoilt, and proves nothing
            return self.broke(now, True, f"{count} of {len(call.orders)} orders taken")
        if count == len(call.orders):
            self.done()
            return ""
        refused, rest = call.orders[count], call.orders[count + 1 :]
        self.refused.append(refused)
        if count and rest and call.nonce is not None:
            rest[-1] = asked_of_all(rest[-1])
        call.orders = rest
        if not rest:
            self.done()
        return f"order {count + 1} was refused: {refused}"

    def rejected(self, now, word):
        call = self.queue[0]
        if word != THROTTLED:
            call.rejects += 1
            if word == INVALID or call.rejects > REJECTS_MOST:
                return self.give_up(call, word)
        self.later(now)
        return f"call rejected: {word}"

    def give_up(self, call, why):
        """The call would never be taken. It goes again in halves, and so on: only the orders that make it so
        are lost. A short text for the log."""
        self.done()
        if len(call.orders) == 1:
            self.lost += 1
            return f"order given up: {why}: {call.orders[0][:NAMED_MOST]}"
        middle = len(call.orders) // 2
        first, second = call.orders[:middle], call.orders[middle:]
        if call.nonce is not None:
            second[-1] = asked_of_all(second[-1])
        self.queue.appendleft(Call(second, call.nonce, call.rejects, True))
        self.queue.appendleft(Call(first, None, call.rejects, True))
        return "" if call.halved else f"call rejected: {why}: again in halves"

    def broke(self, now, sent, why):
        """No answer. `sent`: the call's last byte had gone, so it may have been carried out."""
        if not sent:
            self.later(now)
        elif self.queue[0].nonce is None:
            self.again += 1
            self.later(now)
        else:
            self.doubt, self.at = True, 0 if self.seen else now + self.way + EVIDENCE
        return why

    def later(self, now):
        self.at = now + min(AGAIN_MOST, AGAIN_FIRST << min(self.fails, 6))
        self.fails += 1
