"""A lean event loop: a heap of times, first planned first done; time-outs of equal spans wait in line,
outside the heap.

Processes are coroutines that await `sleep_until`: the days' faults run in it as they run in an event loop.
"""

import heapq
from collections import deque

S = 10**9
SPANS = 64  # spans that have a line of their own; what has a rarer one goes to the heap


class Stuck(RuntimeError):
    """Time stands still."""


class Timer:
    """A planned call. `cancel` costs nothing and forgets what it would have called."""

    __slots__ = ("when", "count", "what", "args")

    def __init__(self, when, count, what, args):
        self.when, self.count, self.what, self.args = when, count, what, args

    def cancel(self):
        self.what = self.args = None


class Sleep:
    def __init__(self, when):
        self.when = when

    def __await__(self):
        yield self


class Engine:
    """Things happen in the order of their times, and those of one time in the order of their planning. Raises
    Stuck after too many events at one instant."""

    MOST_AT_ONCE = 1_000_000

    def __init__(self, now=0):
        self.time, self.heap, self.count, self.done, self.lines = now, [], 0, 0, {}

    def now(self):
        return self.time

    def at(self, when, what, *args):
        if when < self.time:
            raise ValueError(f"{when} is before now, {self.time}")
        self.count += 1
        timer = Timer(when, self.count, what, args)
        heapq.heappush(self.heap, (when, self.count, timer, None))
        return timer

    def after(self, span, what, *args):
        """As `at`, for spans that come again and again: those of one span fall due in the order of their
        planning, so only the first of them needs a place in the heap."""
        line = self.lines.get(span)
        if line is None:
            if len(self.lines) >= SPANS:
                return self.at(self.time + span, what, *args)
            line = self.lines[span] = deque()
        self.count += 1
        timer = Timer(self.time + span, self.count, what, args)
        line.append(timer)
        if len(line) == 1:
            heapq.heappush(self.heap, (timer.when, timer.count, timer, line))
        return timer

    def run(self, until=None):
        """Does what is due up to `until` (ns; None: to the end) and gives how many calls were made so far."""
        heap, same = self.heap, 0
        while heap and (until is None or heap[0][0] <= until):
            when, _, timer, line = heapq.heappop(heap)
            if line is not None:
                line.popleft()
                while line and line[0].what is None:  # cancelled: never in the heap
                    line.popleft()
                if line:
                    heapq.heappush(heap, (line[0].when, line[0].count, line[0], line))
            if timer.what is None:
                continue
            same = same + 1 if when == self.time else 0
            if same > self.MOST_AT_ONCE:
                raise Stuck(f"{same} events at {when} ns: time stands still")
            self.time = when
            timer.what(*timer.args)
            self.done += 1
        if until is not None:
            self.time = max(self.time, until)
        return self.done

    # ---- processes

    def sleep_until(self, when):
        return Sleep(when)

    def start(self, coroutine):
        """Runs it up to its first sleep, and on as time goes."""
        try:
            sleep = coroutine.send(None)
        except StopIteration:
            return
        self.at(max(sleep.when, self.time), self.start, coroutine)
