"""The clock that is handed to whatever needs the time: whole nanoseconds of the event loop's clock."""

import time

import anyio


class LoopClock:
    """now() never goes back; wall() is ns since 1970 and may jump."""

    @staticmethod
    def now():
        return round(anyio.current_time() * 1e9)

    @staticmethod
    def wall():
        return time.time_ns()

    async def sleep_until(self, when):
        while (rest := when - self.now()) > 0:
            await anyio.sleep(rest / 1e9)
