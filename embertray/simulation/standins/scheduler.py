"""Schedules callbacks on the event loop."""

import asyncio

NS_PER_SECOND = 1e9


class Scheduler:
    """Calls back at times of the loop's clock, in ns. Not thread-safe.

    Args:
        clock: its `now()` returns the time, ns.
    """

    def __init__(self, clock):
        self.clock = clock
        self.loop = asyncio.get_running_loop()

    def now(self):
        """The time of the clock, ns."""
        return self.clock.now()

    def at(self, when, callback, *arguments):
        """Calls back at a time.

        Args:
            when: ns of the clock.
            callback: called with the arguments.
            *arguments: its arguments.

        Returns:
            A handle with `cancel()`.
        """
        return self.loop.call_at(when / NS_PER_SECOND, callback, *arguments)

    def after(self, delay, callback, *arguments):
        """Calls back after a delay.

        Args:
            delay: ns from now.
            callback: called with the arguments.
            *arguments: its arguments.

        Returns:
            A handle with `cancel()`.
        """
        return self.loop.call_at((self.now() + delay) / NS_PER_SECOND, callback, *arguments)
