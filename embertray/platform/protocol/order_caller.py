"""Calls with orders to the relay: when one is sent, and what its answer, or none, means.

One call is in flight at a time, as the next orders build on it.
"""

from collections import deque

from .answers import CallRejected, read_answer
from .exceptions import UnreadableAnswerError
from .limits import (
    ACKNOWLEDGEMENT_REQUEST_MAX_BYTES,
    ACKNOWLEDGEMENT_WAIT_NS,
    BACKOFF_DOUBLINGS_MAX,
    BACKOFF_FIRST_NS,
    BACKOFF_MAX_NS,
    LOGGED_ORDER_MAX_CHARACTERS,
    ORDERS_MAX_BYTES,
    REJECTED_RETRIES_MAX,
)
from .order_call import OrderCall, ask_all_proxies
from .wire import ERROR_INVALID, ERROR_THROTTLED


class OrderCaller:
    """Decides which call goes out when; the transport sends it and reports how it ended.

    `next_call(now)` gives the call to send; one of `on_answer` and `on_failure` ends it.

    An unanswered call was carried out or not. The proxies' answer to its nonce tells; without that for the
    longest way of a message and some, it goes out again. A repeat changes nothing twice, as every order names
    what is to stand.

    Attributes:
        refused_orders: Texts of orders that the relay did not take.
        orders_given_up: How many orders were dropped because they made their call invalid.
        calls_repeated: How many unanswered calls were sent again.
        failures: Failures in a row of the call that is sent next.
        next_call_at: When the next call may go out, ns.
    """

    def __init__(self, push_delay_max):
        """`push_delay_max`: the longest that a message takes to a proxy, ns."""
        self.push_delay_max = push_delay_max
        self.queue = deque()
        self.next_call_at = 0
        self.in_doubt = False  # the first call of the queue was sent whole and not answered
        self.acknowledged = False  # a proxy answered the first call's nonce
        self.failures = 0
        self.refused_orders = []
        self.orders_given_up = 0
        self.calls_repeated = 0

    @property
    def idle(self):
        """Whether no call waits or is in flight."""
        return not self.queue

    def enqueue(self, orders, nonce=None, build_acknowledgement_request=None):
        """Put a step's orders into as few calls as the relay's limit allows.

        Args:
            orders: Texts, in order.
            nonce: The nonce that proxies acknowledge, or None.
            build_acknowledgement_request: Formats the order that requests acknowledgements, given
                ACKNOWLEDGED_BY_BOUND or ACKNOWLEDGED_BY_ALL; None if none are requested.
        """
        part = []
        size = 0
        for order in orders:
            order_size = len(order.encode()) + 1  # the relay counts bytes: names may have longer characters
            if part and size + order_size > ORDERS_MAX_BYTES - ACKNOWLEDGEMENT_REQUEST_MAX_BYTES:
                self.queue.append(OrderCall(part))
                part = []
                size = 0
            part.append(order)
            size += order_size
        if build_acknowledgement_request:
            # in several calls the last one's answer stands for all: it goes to every proxy
            part.append(build_acknowledgement_request(int(len(orders) > len(part))))
        if part:
            self.queue.append(OrderCall(part, nonce))

    def next_call(self, now):
        """The OrderCall to send at `now`, ns, or None."""
        if not self.queue or now < self.next_call_at:
            return None
        if self.in_doubt and self.acknowledged:
            self.complete()
            return self.next_call(now)
        self.calls_repeated += self.in_doubt
        self.in_doubt = False
        self.acknowledged = False
        return self.queue[0]

    def complete(self):
        """The first call of the queue has ended; the next one may go out at once."""
        self.queue.popleft()
        self.in_doubt = False
        self.acknowledged = False
        self.failures = 0
        self.next_call_at = 0

    def acknowledge(self, nonce):
        """A proxy answered this nonce: the call that carried it was carried out.

        Returns:
            Whether an unanswered call waited for that, so that the queue goes on at once.
        """
        if self.queue and self.queue[0].nonce is not None and self.queue[0].nonce == nonce:
            self.acknowledged = True
            if self.in_doubt:
                self.next_call_at = 0
                return True
        return False

    def on_answer(self, now, status, body):
        """The whole answer to the call in flight came at `now`, ns: HTTP status and body as bytes.

        Returns:
            A text for the log if something was amiss, else "".
        """
        try:
            answer = read_answer(status, body)
        except UnreadableAnswerError as error:
            return self.on_failure(now, True, f"unreadable answer: {error}")
        if isinstance(answer, CallRejected):
            return self.on_rejected(now, answer.error)
        return self.on_accepted(now, answer.count)

    def on_accepted(self, now, count):
        """The relay took the first `count` orders and stopped at the one after them, if any.

        That one is left out and the rest goes out at once. Returns a text for the log, or "".
        """
        call = self.queue[0]
        if count > len(call.orders):  # more than were sent: the count is spoilt, and proves nothing
            return self.on_failure(now, True, f"{count} of {len(call.orders)} orders taken")
        if count == len(call.orders):
            self.complete()
            return ""
        refused = call.orders[count]
        rest = call.orders[count + 1 :]
        self.refused_orders.append(refused)
        if count and rest and call.nonce is not None:
            rest[-1] = ask_all_proxies(rest[-1])
        call.orders = rest
        if not rest:
            self.complete()
        return f"order {count + 1} was refused: {refused}"

    def on_rejected(self, now, error):
        """The relay took no order and named an `error`. Returns a text for the log."""
        call = self.queue[0]
        if error != ERROR_THROTTLED:
            call.rejections += 1
            if error == ERROR_INVALID or call.rejections > REJECTED_RETRIES_MAX:
                return self.split_or_give_up(call, error)
        self.schedule_retry(now)
        return f"call rejected: {error}"

    def split_or_give_up(self, call, why):
        """A call that the relay would never take goes out again in halves, and those in halves, and so on.

        Against one order that makes the whole call invalid: the others must stand, and a restarted module
        would order the same again. So only the orders that make it so are lost.

        Returns:
            A text for the log, or "" for a half that goes out in halves again.
        """
        self.complete()
        if len(call.orders) == 1:
            self.orders_given_up += 1
            return f"order given up: {why}: {call.orders[0][:LOGGED_ORDER_MAX_CHARACTERS]}"
        middle = len(call.orders) // 2
        first = call.orders[:middle]
        second = call.orders[middle:]
        if call.nonce is not None:
            second[-1] = ask_all_proxies(second[-1])
        self.queue.appendleft(OrderCall(second, call.nonce, call.rejections, True))
        self.queue.appendleft(OrderCall(first, None, call.rejections, True))
        return "" if call.is_half else f"call rejected: {why}: again in halves"

    def on_failure(self, now, sent, why):
        """No answer came, or none that can be read.

        Args:
            now: ns.
            sent: Whether the call's last byte had gone, so that it may have been carried out.
            why: What failed, for the log.

        Returns:
            `why`.
        """
        if not sent:
            self.schedule_retry(now)
        elif self.queue[0].nonce is None:
            # no proxy will ever tell whether it was carried out
            self.calls_repeated += 1
            self.schedule_retry(now)
        else:
            self.in_doubt = True
            wait_until = now + self.push_delay_max + ACKNOWLEDGEMENT_WAIT_NS
            self.next_call_at = 0 if self.acknowledged else wait_until
        return why

    def schedule_retry(self, now):
        """The call in flight goes out again after a backoff."""
        doublings = min(self.failures, BACKOFF_DOUBLINGS_MAX)
        self.next_call_at = now + min(BACKOFF_MAX_NS, BACKOFF_FIRST_NS << doublings)
        self.failures += 1
