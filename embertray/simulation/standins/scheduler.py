"""Callbacks at times, on the event loop."""

import asyncio

NS_PER_S = 1e9


class Scheduler:
    """Callbacks at times, ns of the loop's clock. To be used in the loop's thread only.

    Args:
        clock: gives the time by `now()`.
    """

    def __init__(self, clock):
        self.clock = clock
        self.loop = asyncio.get_running_loop()

    def now(self):
        """The time of the clock, ns."""
        return self.clock.now()

    def at(self, when, callback, *arguments):
        """Call back at a time.

        Args:
            when: ns of the clock.
            callback: called with the arguments.
            *arguments: its arguments.

        Returns:
            A handle with `cancel()`.
        """
        return self.loop.call_at(when / NS_PER_S, callback, *arguments)

    def after(self, delay, callback, *arguments):
        """Call back after a delay.

        Args:
            delay: ns from now.
            callback: called with the arguments.
            *arguments: its arguments.

        Returns:
            A handle with `cancel()`.
        """
        return self.loop.call_at((self.now() + delay) / NS_PER_S, callback, *arguments)
