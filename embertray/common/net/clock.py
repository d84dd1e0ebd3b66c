"""The clock that is handed to whatever needs the time."""

import time

import anyio

NS_PER_SECOND = 1e9


class LoopClock:
    """The event loop's clock, in whole nanoseconds."""

    @staticmethod
    def now():
        """Returns ns that never go back."""
        return round(anyio.current_time() * NS_PER_SECOND)

    @staticmethod
    def wall():
        """Returns ns since 1970, which may jump."""
        return time.time_ns()

    async def sleep_until(self, when):
        """Returns once `now()` has reached `when` (ns)."""
        while (remaining := when - self.now()) > 0:
            await anyio.sleep(remaining / NS_PER_SECOND)
