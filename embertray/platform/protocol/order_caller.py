"""Schedules calls with orders to the relay and handles their results, including missing answers.

At most one call is in flight, because later orders depend on it.
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
    """Decides which call is sent when; the transport sends it and reports the result.

    `next_call(now)` returns the call to send; either `on_answer` or `on_failure` must follow.

    An unanswered call may have been executed. An acknowledgement of its nonce by a proxy proves that it was;
    if none arrives within the maximum push delay plus a margin, the call is sent again. Repeating a call is
    safe because orders are idempotent: each states the desired state.

    Attributes:
        refused_orders: Texts of orders that the relay refused.
        orders_dropped: Number of orders dropped because they made their call invalid.
        calls_repeated: Number of unanswered calls that were sent again.
        failures: Consecutive failures of the first call of the queue.
        next_call_at: Earliest time of the next call, ns.
    """

    def __init__(self, push_delay_max):
        """`push_delay_max`: the maximum time in which a message reaches a proxy, ns."""
        self.push_delay_max = push_delay_max
        self.queue = deque()
        self.next_call_at = 0
        self.in_doubt = False  # the first call of the queue was sent completely but not answered
        self.acknowledged = False  # a proxy acknowledged the first call's nonce
        self.failures = 0
        self.refused_orders = []
        self.orders_dropped = 0
        self.calls_repeated = 0

    @property
    def idle(self):
        """Whether no call is queued or in flight."""
        return not self.queue

    def enqueue(self, orders, nonce=None, build_acknowledgement_request=None):
        """Queue a step's orders in as few calls as the relay's size limit allows.

        Args:
            orders: Texts, in order.
            nonce: The nonce that proxies acknowledge, or None.
            build_acknowledgement_request: Formats the order that requests acknowledgements, given
                ACKNOWLEDGED_BY_BOUND or ACKNOWLEDGED_BY_ALL; None if none are requested.
        """
        part = []
        size = 0
        for order in orders:
            # encoded: the relay's limit is in bytes, and names may contain multi-byte characters
            order_size = len(order.encode()) + 1
            if part and size + order_size > ORDERS_MAX_BYTES - ACKNOWLEDGEMENT_REQUEST_MAX_BYTES:
                self.queue.append(OrderCall(part))
                part = []
                size = 0
            part.append(order)
            size += order_size
        if build_acknowledgement_request:
            # of several calls, only the last one is acknowledged, on behalf of all: by every proxy
            part.append(build_acknowledgement_request(int(len(orders) > len(part))))
        if part:
            self.queue.append(OrderCall(part, nonce))

    def next_call(self, now):
        """Return the OrderCall to send at `now`, ns, or None."""
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
        """Remove the finished first call of the queue; the next one may be sent at once."""
        self.queue.popleft()
        self.in_doubt = False
        self.acknowledged = False
        self.failures = 0
        self.next_call_at = 0

    def acknowledge(self, nonce):
        """Handle a proxy's acknowledgement of a nonce, which proves that the call with it was executed.

        Returns:
            Whether an unanswered call was waiting for it, so that the queue can continue at once.
        """
        if self.queue and self.queue[0].nonce is not None and self.queue[0].nonce == nonce:
            self.acknowledged = True
            if self.in_doubt:
                self.next_call_at = 0
                return True
        return False

    def on_answer(self, now, status, body):
        """Handle the complete answer to the call in flight at `now`, ns: HTTP status and body as bytes.

        Returns:
            A message for the log if something went wrong, else "".
        """
        try:
            answer = read_answer(status, body)
        except UnreadableAnswerError as error:
            return self.on_failure(now, True, f"unreadable answer: {error}")
        if isinstance(answer, CallRejected):
            return self.on_rejected(now, answer.error)
        return self.on_accepted(now, answer.count)

    def on_accepted(self, now, count):
        """Handle an answer by which the relay accepted the first `count` orders and refused the next, if any.

        The refused order is dropped and the rest is sent at once. Returns a message for the log, or "".
        """
        call = self.queue[0]
        if count > len(call.orders):  # more than were sent: the count is corrupt and proves nothing
            return self.on_failure(now, True, f"invalid order count: {count} of {len(call.orders)} accepted")
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
        """Handle an answer by which the relay rejected the whole call. Returns a message for the log."""
        call = self.queue[0]
        if error != ERROR_THROTTLED:
            call.rejections += 1
            if error == ERROR_INVALID or call.rejections > REJECTED_RETRIES_MAX:
                return self.split_or_drop(call, error)
        self.schedule_retry(now)
        return f"call rejected: {error}"

    def split_or_drop(self, call, why):
        """Split a call that the relay rejects permanently into halves, recursively; drop a single order.

        One order can make a whole call invalid. The other orders must still be executed, and a restarted
        module would produce the same call again. Bisecting the call loses only the invalid orders.

        Returns:
            A message for the log, or "" for a half that is split again.
        """
        self.complete()
        if len(call.orders) == 1:
            self.orders_dropped += 1
            return f"order dropped: {why}: {call.orders[0][:LOGGED_ORDER_MAX_CHARACTERS]}"
        middle = len(call.orders) // 2
        first = call.orders[:middle]
        second = call.orders[middle:]
        if call.nonce is not None:
            second[-1] = ask_all_proxies(second[-1])
        self.queue.appendleft(OrderCall(second, call.nonce, call.rejections, True))
        self.queue.appendleft(OrderCall(first, None, call.rejections, True))
        return "" if call.is_half else f"call rejected: {why}: retrying in halves"

    def on_failure(self, now, sent, why):
        """Handle a call without an answer, or with one that could not be parsed.

        Args:
            now: Monotonic time, ns.
            sent: Whether the call was sent completely, so that it may have been executed.
            why: The cause, for the log.

        Returns:
            `why`.
        """
        if not sent:
            self.schedule_retry(now)
        elif self.queue[0].nonce is None:
            # without a nonce there is no acknowledgement that could prove its execution
            self.calls_repeated += 1
            self.schedule_retry(now)
        else:
            self.in_doubt = True
            wait_until = now + self.push_delay_max + ACKNOWLEDGEMENT_WAIT_NS
            self.next_call_at = 0 if self.acknowledged else wait_until
        return why

    def schedule_retry(self, now):
        """Schedule the call in flight to be sent again after a backoff."""
        doublings = min(self.failures, BACKOFF_DOUBLINGS_MAX)
        self.next_call_at = now + min(BACKOFF_MAX_NS, BACKOFF_FIRST_NS << doublings)
        self.failures += 1
