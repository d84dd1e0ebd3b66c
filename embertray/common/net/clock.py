"""The clock that is injected wherever the time is needed."""

import time

import anyio

NS_PER_SECOND = 1e9


class LoopClock:
    """The event loop's clock, in integer nanoseconds."""

    @staticmethod
    def now():
        """Returns the monotonic time, ns."""
        return round(anyio.current_time() * NS_PER_SECOND)

    @staticmethod
    def wall():
        """Returns the wall clock, ns since 1970; it may jump."""
        return time.time_ns()

    async def sleep_until(self, when):
        """Sleeps until `now()` has reached `when`, ns."""
        while (remaining := when - self.now()) > 0:
            await anyio.sleep(remaining / NS_PER_SECOND)
