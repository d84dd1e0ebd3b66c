"""Paces the channel: messages leave one after the other at so many lines a second, without I/O.

Every line that was ordered and has not left yet counts as waiting, message heads included. A message leaves
when the last of its lines has had its time; the one under way counts in full.
"""

from collections import deque
from typing import Any, NamedTuple

from .exceptions import PaceOutOfRangeError

NS_PER_SECOND = 10**9
# Seconds of the rate that are made up for after a late wake-up, at most: timers are late by some ms, but a
# process that stood still must not send its whole queue at once.
BURST_S = 0.02
ROUNDING_LINES = 1e-6  # lines that count as none: the rest of a float that time was taken from


class QueuedMessage:
    """A message in the channel.

    Args:
        proxy: Its receiver.
        cost: Lines that it counts.
        message: What leaves.
    """

    __slots__ = ("cost", "message", "proxy")

    def __init__(self, proxy, cost, message):
        self.proxy = proxy
        self.cost = cost
        self.message = message


class Departure(NamedTuple):
    """A message that has left the channel.

    Attributes:
        proxy: Its receiver.
        message: The message.
    """

    proxy: Any
    message: Any


class Pacer:
    """The channel of one controller.

    Args:
        rate: Lines a second; 0: no limit.
        now: ns.

    Attributes:
        pace: Part of the rate that is in force, over 0 and 1 at most.
        queue: QueuedMessage items, the next to leave first.
        lines_waiting: Lines that have not left yet.
        lines_peak: The most that ever waited.
        departed: Messages that left.
    """

    def __init__(self, rate, now=0):
        self.rate = rate
        self.pace = 1.0
        self.queue = deque()
        self.lines_waiting = 0.0
        self.lines_peak = 0.0
        self.departed = 0
        self._accounted_until = now  # ns up to which time is spent
        self._lines_remaining = (
            0.0  # lines of the first message still to go; negative: time to spare for the next
        )

    def enqueue(self, now, proxy, cost, message):
        """Takes a message that leaves by `dequeue` later.

        Args:
            now: ns.
            proxy: Its receiver.
            cost: Lines that it counts.
            message: The message.
        """
        if not self.queue:
            self._accounted_until = now
            self._lines_remaining = cost
        self.queue.append(QueuedMessage(proxy, cost, message))
        self.lines_waiting += cost
        self.lines_peak = max(self.lines_peak, self.lines_waiting)

    def dequeue(self, now):
        """Returns the Departures up to `now` (ns), in order."""
        departures = []
        self._account_time(now)
        while self.queue and (not self.rate or self._lines_remaining <= ROUNDING_LINES):
            first = self.queue.popleft()
            departures.append(Departure(first.proxy, first.message))
            self.lines_waiting -= first.cost
            self.departed += 1
            spare = min(0.0, self._lines_remaining)
            self._lines_remaining = spare + self.queue[0].cost if self.queue else 0.0
        if not self.queue:
            self.lines_waiting = 0.0
        return departures

    def next_departure(self):
        """Returns when the first message leaves, ns; None: nothing waits."""
        if not self.queue:
            return None
        if not self.rate:
            return self._accounted_until
        # rounded up, so that the message has left at the time that is given
        return self._accounted_until + max(
            0, -int(-self._lines_remaining * NS_PER_SECOND // (self.rate * self.pace))
        )

    def set_pace(self, now, pace):
        """Runs the channel at a part of its rate from now on.

        Args:
            now: ns.
            pace: The part.

        Raises:
            PaceOutOfRangeError: It is not over 0 and 1 at most.
        """
        if not 0 < pace <= 1:
            raise PaceOutOfRangeError(f"a pace of {pace}: over 0 and 1 at most is wanted")
        self._account_time(now)
        self.pace = pace

    def heaviest_proxy(self):
        """Returns the proxy with the most lines waiting; None: nothing waits."""
        lines = {}
        for queued in self.queue:
            lines[queued.proxy] = lines.get(queued.proxy, 0) + queued.cost
        return max(lines, key=lines.get, default=None)

    def drop_proxy(self, now, proxy):
        """Drops what waits for a proxy whose stream ended: it takes no more of the channel's time.

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
        """Spends the time up to `now` (ns) on the first message."""
        if self.queue and self.rate:
            rate = self.rate * self.pace
            lines = (now - self._accounted_until) * rate / NS_PER_SECOND
            self._lines_remaining = max(self._lines_remaining - lines, -BURST_S * rate)
        self._accounted_until = now
