"""A connection whose sender never waits for the peer: a queue, one writer, one reader."""

from collections import deque

import anyio


class QueuedConnection:
    """A byte stream with a queue before it.

    The queue has no bound of its own: whoever puts into it counts what is not taken, and cuts the stream.

    Args:
        stream: The byte stream.
        on_sent: Called each time the stream has taken what one `put` gave; None: several go at once.

    Attributes:
        queue: Data that waits for the writer.
        queued_bytes: Bytes that the stream has not taken.
        mid_send: A send was begun and not ended: no frame may follow it.
    """

    def __init__(self, stream, on_sent=None):
        self.stream = stream
        self.on_sent = on_sent
        self.queue = deque()
        self.queued_bytes = 0
        self.mid_send = False
        self._woken = anyio.Event()
        self._finishing = False

    def put(self, data):
        """Queues bytes."""
        self.queue.append(data)
        self.queued_bytes += len(data)
        self._woken.set()

    def finish(self):
        """No more is put: the writer returns when all is written."""
        self._finishing = True
        self._woken.set()

    async def write(self):
        """Writes what is put, until `finish`.

        Raises:
            OSError: The stream broke; so for anyio's errors of a stream (CONNECTION_ERRORS).
        """
        while True:
            while self.queue:
                await self._send(self._next_data())
            if self._finishing:
                return
            self._woken = anyio.Event()
            await self._woken.wait()

    def _next_data(self):
        """Takes from the queue: one item if its sender counts by what it put, else all."""
        if self.on_sent:
            return self.queue.popleft()
        data = b"".join(self.queue)
        self.queue.clear()
        return data

    async def _send(self, data):
        self.mid_send = True
        await self.stream.send(data)
        self.mid_send = False
        self.queued_bytes -= len(data)
        if self.on_sent:
            self.on_sent()

    async def read(self):
        """Returns bytes that came; none at the end of the stream, however it ended."""
        try:
            return await self.stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return b""
