"""A connection that frames are put on without waiting: a bounded queue, one writer, one reader.

Used where the sender must not wait for a peer: `put` is not async. Whoever owns it looks at `held` and cuts.
"""

from collections import deque

import anyio


class Conn:
    """A byte stream with a queue before it. `on_taken(size)` is called when the stream has taken that many
    bytes.
    """

    def __init__(self, stream, on_taken=None):
        self.stream, self.on_taken = stream, on_taken
        self.queue, self.held, self.wake, self.ending = deque(), 0, anyio.Event(), False
        self.midway = False  # a send was begun and not ended: no frame may follow it

    def put(self, data):
        self.queue.append(data)
        self.held += len(data)
        self.wake.set()

    def end(self):
        """No more is put; the writer returns when all is written."""
        self.ending = True
        self.wake.set()

    async def write(self):
        """Writes until `end` or until the stream breaks, which raises anyio's error."""
        while True:
            while self.queue:
                if self.on_taken:  # one at a time: the owner counts by what it put
                    data = self.queue.popleft()
                else:
                    data = b"".join(self.queue)
                    self.queue.clear()
                self.midway = True
                await self.stream.send(data)
                self.midway = False
                self.held -= len(data)
                if self.on_taken:
                    self.on_taken()
            if self.ending:
                return
            self.wake = anyio.Event()
            await self.wake.wait()

    async def read(self):
        """Bytes that came; b"" at the end of the stream, however it ended."""
        try:
            return await self.stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return b""
