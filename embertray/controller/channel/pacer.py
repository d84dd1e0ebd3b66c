"""The channel: messages leave one after the other at so many lines a second; what waits is counted as rule 5
counts it.

No I/O: the time comes in, what leaves comes out. Rule 5 counts every line that was ordered and has not left
yet, heads included. A message leaves when the last of its lines has had its time; one that is under way
counts whole.
"""

from collections import deque

S = 10**9
# -- constants: value, unit, reason
BURST_S = (
    0.02  # s of the rate made up for at most after a late wake-up: timers are late by some ms, but a process
)
#                     that stood still must not send its whole queue at once


class QueuedMessage:
    """A message in the channel."""

    __slots__ = ("proxy", "cost", "message")

    def __init__(self, proxy, cost, message):
        self.proxy, self.cost, self.message = proxy, cost, message


class Pacer:
    """One instance's channel. `rate` is lines a second (0: no limit); `pace` is the part of it that holds
    now.
    """

    def __init__(self, rate, now=0):
        self.rate, self.pace, self.queue = rate, 1.0, deque()
        self.lines_waiting, self.lines_peak, self.departed = (
            0.0,
            0.0,
            0,
        )  # waiting now, the most ever, messages that left
        self.at, self.owed = now, 0.0  # lines of the first message still to go at `at`

    def enqueue(self, now, proxy, cost, message):
        """A message is ordered. Its message leaves by `leave`."""
        if not self.queue:
            self.at, self.owed = now, cost
        self.queue.append(QueuedMessage(proxy, cost, message))
        self.lines_waiting += cost
        self.lines_peak = max(self.lines_peak, self.lines_waiting)

    def set_pace(self, now, pace):
        """Runs the channel at a part of its rate from now on. Raises ValueError out of (0, 1]."""
        if not 0 < pace <= 1:
            raise ValueError(f"a pace of {pace}: over 0 and 1 at most is wanted")
        self.run(now)
        self.pace = pace

    def run(self, now):
        """The time up to now is spent on the first message."""
        if self.queue and self.rate:
            rate = self.rate * self.pace
            self.owed = max(self.owed - (now - self.at) * rate / S, -BURST_S * rate)
        self.at = now

    def dequeue(self, now):
        """[(px, message)] of the messages that have left by now, in order."""
        gone = []
        self.run(now)
        while self.queue and (not self.rate or self.owed <= 1e-6):
            first = self.queue.popleft()
            gone.append((first.proxy, first.message))
            self.lines_waiting -= first.cost
            self.departed += 1
            spare = min(0.0, self.owed)
            self.owed = spare + self.queue[0].cost if self.queue else 0.0
        if not self.queue:
            self.lines_waiting = 0.0
        return gone

    def heaviest_proxy(self):
        """The proxy with the most lines waiting; None when nothing waits."""
        lines = {}
        for one in self.queue:
            lines[one.proxy] = lines.get(one.proxy, 0) + one.cost
        return max(lines, key=lines.get, default=None)

    def next_departure(self):
        """When the first message leaves, ns; None when nothing waits."""
        if not self.queue:
            return None
        if not self.rate:
            return self.at
        return self.at + max(0, -int(-self.owed * S // (self.rate * self.pace)))

    def drop_proxy(self, now, proxy):
        """The proxy's stream is gone: what waits for it is lost and costs no time any more."""
        self.run(now)
        if self.queue and self.queue[0].proxy is proxy:
            self.owed = 0.0
            while self.queue and self.queue[0].proxy is proxy:
                self.lines_waiting -= self.queue.popleft().cost
            if self.queue:
                self.owed = self.queue[0].cost
        kept = deque(w for w in self.queue if w.proxy is not proxy)
        if len(kept) != len(self.queue):
            self.queue = kept
            self.lines_waiting = sum(w.cost for w in kept)
