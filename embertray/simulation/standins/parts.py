"""What all stand-ins are made of: an agenda of callbacks, and links that carry messages."""

import asyncio

import anyio

from embertray.common.framing import BadFrame, Splitter, frame
from embertray.common.net.queued_connection import QueuedConnection

BROKEN = (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)


class Agenda:
    """Callbacks at times, ns of the loop's clock. Used in the loop's thread only."""

    def __init__(self, clock):
        self.clock, self.loop = clock, asyncio.get_running_loop()

    def now(self):
        return self.clock.now()

    def at(self, when, what, *args):
        return self.loop.call_at(when / 1e9, what, *args)

    def after(self, span, what, *args):
        return self.loop.call_at((self.now() + span) / 1e9, what, *args)


class Link:
    """Messages both ways over one stream. `on_message(message)` for each; `on_end()` once."""

    def __init__(self, stream, encode, read, on_message, on_end=None):
        self.conn, self.encode, self.read = QueuedConnection(stream), encode, read
        self.on_message, self.on_end, self.scope, self.over = on_message, on_end, anyio.CancelScope(), False

    def put(self, message):
        if not self.over:
            self.conn.put(frame(self.encode(message)))

    def cut(self):
        self.over = True
        self.scope.cancel()

    async def run(self):
        splitter = Splitter()
        try:
            async with self.conn.stream:
                with self.scope:
                    async with anyio.create_task_group() as group:
                        group.start_soon(self.write)
                        while data := await self.conn.read():
                            for payload in splitter.feed(data):
                                self.on_message(self.read(payload))
                        group.cancel_scope.cancel()
        except BadFrame:
            pass
        finally:
            self.over = True
            if self.on_end:
                self.on_end()

    async def write(self):
        try:
            await self.conn.write()
        except BROKEN:
            self.scope.cancel()
