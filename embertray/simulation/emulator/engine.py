"""A discrete-event engine: a heap of scheduled calls under virtual time.

Calls that share a delay fall due in the order of their scheduling, so each frequent delay has a queue of its
own and only the queue's first entry stands in the heap. Most of these calls are timeouts that are cancelled.

Processes are coroutines that await `sleep_until`: the faults of a scenario run in the engine as they run in
an event loop.
"""

import heapq
from collections import deque

from .exceptions import PastEventError, StuckClockError

NS_PER_MS = 10**6
NS_PER_SECOND = 10**9
# Delays that have a queue of their own. A rarer delay goes to the heap, so that many one-off delays do not
# leave many empty queues behind.
MAX_DELAY_QUEUES = 64


class Timer:
    """A scheduled call.

    Args:
        when: Its time, ns.
        number: Its place in the order of scheduling, which decides between calls of one time.
        callback: What is called; None once cancelled.
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
        """Whether the call was dropped."""
        return self.callback is None

    def cancel(self):
        """Drops the call, and the references to all that it would have used."""
        self.callback = None
        self.args = None


class Sleep:
    """What a process awaits to be resumed later.

    Args:
        when: The time to resume, ns.
    """

    def __init__(self, when):
        self.when = when

    def __await__(self):
        yield self


class Engine:
    """Makes scheduled calls in the order of their times; those of one time in the order of scheduling.

    Args:
        now: Where time begins, ns.

    Attributes:
        time: The present, ns.
        done: Calls made so far.
    """

    # Calls at one instant after which the simulation counts as looping.
    MAX_CALLS_AT_ONCE = 1_000_000

    def __init__(self, now=0):
        self.time = now
        self.calls_made = 0
        self._heap = []  # (time, number, Timer, its queue or None)
        self._scheduled = 0
        self._queues = {}  # delay, ns -> deque of Timers

    def now(self):
        """The present.

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
        """Schedules a call after a delay that is used again and again.

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
            How many calls were made since the engine began.

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
        """Takes the first entry out of a queue; the next that is not cancelled goes to the heap."""
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
            What to await.
        """
        return Sleep(when)

    def start(self, coroutine):
        """Runs a process up to its first sleep, and further as time goes on.

        Args:
            coroutine: The process; it awaits `sleep_until` and nothing else.
        """
        try:
            sleep = coroutine.send(None)
        except StopIteration:
            return
        self.at(max(sleep.when, self.time), self.start, coroutine)
