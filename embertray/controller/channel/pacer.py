"""Paces the channel: releases messages one after the other at a rate in lines a second, without I/O.

Every line that was ordered and not released yet counts as waiting, message heads included. A message is
released when the time of its last line has passed; until then it counts as waiting in full.
"""

from collections import deque
from typing import Any, NamedTuple

from .exceptions import PaceOutOfRangeError

NS_PER_SECOND = 10**9
# Most seconds of the rate that are released at once after a late wake-up: timers are late by some ms, but a
# process that was stopped must not send its whole queue at once.
BURST_S = 0.02
ROUNDING_LINES = 1e-6  # remaining lines up to this are rounding errors of floats


class QueuedMessage:
    """A message that waits in the channel.

    Args:
        proxy: Its receiver.
        cost: Its cost in lines.
        message: The message.
    """

    __slots__ = ("cost", "message", "proxy")

    def __init__(self, proxy, cost, message):
        self.proxy = proxy
        self.cost = cost
        self.message = message


class ReleasedMessage(NamedTuple):
    """A message that the channel has released.

    Attributes:
        proxy: Its receiver.
        message: The message.
    """

    proxy: Any
    message: Any


class Pacer:
    """The rate limiter of one controller's channel.

    Args:
        rate: Lines a second; 0: no limit.
        now: ns.

    Attributes:
        pace: Share of the rate that is in force, above 0 and at most 1.
        queue: QueuedMessage items, the next to be released first.
        lines_waiting: Lines that are not released yet.
        lines_peak: The largest value of lines_waiting so far.
        released: Number of released messages.
    """

    def __init__(self, rate, now=0):
        self.rate = rate
        self.pace = 1.0
        self.queue = deque()
        self.lines_waiting = 0.0
        self.lines_peak = 0.0
        self.released = 0
        self._accounted_until = now  # ns; the channel time before it is already accounted for
        # Lines of the first message that still need time; negative: time left over for the next message.
        self._lines_remaining = 0.0

    def enqueue(self, now, proxy, cost, message):
        """Queues a message, which `dequeue` returns later.

        Args:
            now: ns.
            proxy: Its receiver.
            cost: Its cost in lines.
            message: The message.
        """
        if not self.queue:
            self._accounted_until = now
            self._lines_remaining = cost
        self.queue.append(QueuedMessage(proxy, cost, message))
        self.lines_waiting += cost
        self.lines_peak = max(self.lines_peak, self.lines_waiting)

    def dequeue(self, now):
        """Removes the messages that are due at `now` (ns) and returns them as ReleasedMessages, in order."""
        released_messages = []
        self._account_time(now)
        while self.queue and (not self.rate or self._lines_remaining <= ROUNDING_LINES):
            first = self.queue.popleft()
            released_messages.append(ReleasedMessage(first.proxy, first.message))
            self.lines_waiting -= first.cost
            self.released += 1
            spare = min(0.0, self._lines_remaining)
            self._lines_remaining = spare + self.queue[0].cost if self.queue else 0.0
        if not self.queue:
            self.lines_waiting = 0.0
        return released_messages

    def next_release(self):
        """Returns when the first message is due, ns; None: the queue is empty."""
        if not self.queue:
            return None
        if not self.rate:
            return self._accounted_until
        # rounded up, so that the message is due at the returned time
        return self._accounted_until + max(
            0, -int(-self._lines_remaining * NS_PER_SECOND // (self.rate * self.pace))
        )

    def set_pace(self, now, pace):
        """Runs the channel at a share of its rate from now on.

        Args:
            now: ns.
            pace: The share.

        Raises:
            PaceOutOfRangeError: The pace is not above 0 and at most 1.
        """
        if not 0 < pace <= 1:
            raise PaceOutOfRangeError(f"pace {pace} is out of range: it must be above 0 and at most 1")
        self._account_time(now)
        self.pace = pace

    def heaviest_proxy(self):
        """Returns the proxy with the most waiting lines; None: the queue is empty."""
        lines = {}
        for queued in self.queue:
            lines[queued.proxy] = lines.get(queued.proxy, 0) + queued.cost
        return max(lines, key=lines.get, default=None)

    def drop_proxy(self, now, proxy):
        """Drops the waiting messages of a proxy whose stream ended, so that they take no channel time.

        Args:
            now: ns.
            proxy: The proxy.
        """
        self._account_time(now)
        if self.queue and self.queue[0].proxy is proxy:
            self._lines_remaining = 0.0
            while self.queue and self.queue[0].proxy is proxy:
                self.lines_waiting -= self.queue.popleft().cost
            if self.queue:
                self._lines_remaining = self.queue[0].cost
        remaining = deque(queued for queued in self.queue if queued.proxy is not proxy)
        if len(remaining) != len(self.queue):
            self.queue = remaining
            self.lines_waiting = sum(queued.cost for queued in remaining)

    def _account_time(self, now):
        """Accounts the time up to `now` (ns) to the first message."""
        if self.queue and self.rate:
            rate = self.rate * self.pace
            lines = (now - self._accounted_until) * rate / NS_PER_SECOND
            self._lines_remaining = max(self._lines_remaining - lines, -BURST_S * rate)
        self._accounted_until = now
