"""Runs the service and the stand-ins in virtual time: a day takes only as long as its computation.

The loop is asyncio's own, first in first out; where it would wait, its clock jumps to the next timer instead.
Runs of the same day with the same seed are therefore identical. docs/design/controller.md compares this with
other ways.
"""

import asyncio
import selectors

import anyio

from embertray.common.net.clock import LoopClock

from .exceptions import StalledError

START_S = 1000.0  # of the virtual clock; earlier times are left for what started before the run
WALL_OFFSET_NS = 1_700_000_000 * 10**9  # of the wall clock against the loop's clock


class _JumpingSelector(selectors.DefaultSelector):
    """Advances the loop's clock instead of waiting.

    Raises:
        StalledError: from `select`, where no timer is left to jump to.
    """

    loop = None

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and (timeout is None or timeout > 0):
            if timeout is None:
                raise StalledError("no task can run and no timer is set")
            self.loop.time_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only while no callback is ready.

    Attributes:
        time_s: the loop's time, s.
    """

    def __init__(self):
        self.time_s = START_S
        selector = _JumpingSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self):
        """The loop's time, s."""
        return self.time_s


def run(main, *arguments):
    """Runs a coroutine function in virtual time, as `anyio.run` does in real time.

    Args:
        main: the coroutine function.
        *arguments: its arguments.

    Returns:
        What it returns.

    Raises:
        StalledError: it waits, and neither a task nor a timer can end the wait.
    """
    return anyio.run(main, *arguments, backend_options={"loop_factory": VirtualLoop})


class VirtualClock(LoopClock):
    """The loop's clock, with a wall clock that can be set.

    Attributes:
        wall_offset: ns by which the wall clock is ahead.
    """

    def __init__(self):
        self.wall_offset = WALL_OFFSET_NS

    def wall(self):
        """The wall clock's time, ns."""
        return self.now() + self.wall_offset
