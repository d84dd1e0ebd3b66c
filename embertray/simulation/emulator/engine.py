"""A discrete-event engine: a heap of calls scheduled in virtual time.

Calls with the same delay fall due in the order in which they were scheduled. Each frequent delay therefore
has a queue, of which only the first entry is in the heap. Most of these calls are timeouts that are
cancelled.

Processes are coroutines that await `sleep_until`, so that the faults of a scenario run in the engine as in an
event loop.
"""

import heapq
from collections import deque

from .exceptions import PastEventError, StuckClockError

NS_PER_MS = 10**6
NS_PER_SECOND = 10**9
# Most delays that get a queue. Calls with further delays go to the heap, so that one-off delays do not leave
# empty queues behind.
MAX_DELAY_QUEUES = 64


class Timer:
    """A scheduled call.

    Args:
        when: Its time, ns.
        number: Its sequence number, which orders calls of the same time.
        callback: The function to call; None once cancelled.
        args: Its arguments.
    """

    __slots__ = ("args", "callback", "number", "when")

    def __init__(self, when, number, callback, args):
        self.when = when
        self.number = number
        self.callback = callback
        self.args = args

    @property
    def cancelled(self):
        """Whether the call was cancelled."""
        return self.callback is None

    def cancel(self):
        """Cancels the call, and releases its callback and arguments."""
        self.callback = None
        self.args = None


class Sleep:
    """An awaitable that suspends a process until a time.

    Args:
        when: The time to resume, ns.
    """

    def __init__(self, when):
        self.when = when

    def __await__(self):
        yield self


class Engine:
    """Makes scheduled calls in the order of their times; those of the same time in the order of scheduling.

    Args:
        now: The initial time, ns.

    Attributes:
        time: The current time, ns.
        calls_made: Calls made so far.
    """

    # Calls at one instant after which the simulation is taken to loop.
    MAX_CALLS_AT_ONCE = 1_000_000

    def __init__(self, now=0):
        self.time = now
        self.calls_made = 0
        self._heap = []  # (time, number, Timer, its queue or None)
        self._scheduled = 0
        self._queues = {}  # delay, ns -> deque of Timers

    def now(self):
        """The current time.

        Returns:
            ns.
        """
        return self.time

    def at(self, when, callback, *args):
        """Schedules a call at a time.

        Args:
            when: ns.
            callback: What to call.
            *args: Its arguments.

        Returns:
            The Timer, to cancel it.

        Raises:
            PastEventError: The time has passed.
        """
        if when < self.time:
            raise PastEventError(when, self.time)
        self._scheduled += 1
        timer = Timer(when, self._scheduled, callback, args)
        heapq.heappush(self._heap, (when, timer.number, timer, None))
        return timer

    def after(self, delay, callback, *args):
        """Schedules a call after a delay; meant for delays that are used often.

        Args:
            delay: ns.
            callback: What to call.
            *args: Its arguments.

        Returns:
            The Timer, to cancel it.
        """
        queue = self._queues.get(delay)
        if queue is None:
            if len(self._queues) >= MAX_DELAY_QUEUES:
                return self.at(self.time + delay, callback, *args)
            queue = self._queues[delay] = deque()
        self._scheduled += 1
        timer = Timer(self.time + delay, self._scheduled, callback, args)
        queue.append(timer)
        if len(queue) == 1:
            self._push_first(queue)
        return timer

    def run(self, until=None):
        """Makes the calls that are due.

        Args:
            until: The last time to reach, ns; None: until nothing is scheduled.

        Returns:
            Calls made since the engine was created.

        Raises:
            StuckClockError: Time does not advance.
        """
        heap = self._heap
        calls_at_once = 0
        while heap and (until is None or heap[0][0] <= until):
            when, _, timer, queue = heapq.heappop(heap)
            if queue is not None:
                self._advance_queue(queue)
            if timer.callback is None:
                continue
            calls_at_once = calls_at_once + 1 if when == self.time else 0
            if calls_at_once > self.MAX_CALLS_AT_ONCE:
                raise StuckClockError(calls_at_once, when)
            self.time = when
            timer.callback(*timer.args)
            self.calls_made += 1
        if until is not None:
            self.time = max(self.time, until)
        return self.calls_made

    def _advance_queue(self, queue):
        """Removes the first entry of a queue, and moves the next one that is not cancelled to the heap."""
        queue.popleft()
        while queue and queue[0].callback is None:
            queue.popleft()
        if queue:
            self._push_first(queue)

    def _push_first(self, queue):
        timer = queue[0]
        heapq.heappush(self._heap, (timer.when, timer.number, timer, queue))

    def sleep_until(self, when):
        """Suspends the process that awaits the result.

        Args:
            when: The time to resume, ns.

        Returns:
            An awaitable.
        """
        return Sleep(when)

    def start(self, coroutine):
        """Runs a process up to its first sleep, and schedules its continuation.

        Args:
            coroutine: The process; it awaits `sleep_until` and nothing else.
        """
        try:
            sleep = coroutine.send(None)
        except StopIteration:
            return
        self.at(max(sleep.when, self.time), self.start, coroutine)
