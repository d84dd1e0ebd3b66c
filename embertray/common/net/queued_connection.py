"""A connection with a send queue, so that the sender never waits for the peer."""

from collections import deque

import anyio


class QueuedConnection:
    """A byte stream with a send queue, one writer task and one reader.

    The queue is unbounded: the caller of `put` must limit `queued_bytes`, and close the stream if needed.

    Args:
        stream: The byte stream.
        on_sent: Called after the data of each `put` was sent; if None, queued items are sent together.

    Attributes:
        queue: Data waiting for the writer.
        queued_bytes: Bytes that were put and not sent yet.
        mid_send: Whether a send was interrupted or is in progress: no frame may be sent after it.
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
        """Queues bytes for sending."""
        self.queue.append(data)
        self.queued_bytes += len(data)
        self._woken.set()

    def finish(self):
        """Makes `write` return once the queue is empty; nothing may be put afterwards."""
        self._finishing = True
        self._woken.set()

    async def write(self):
        """Sends queued data until `finish` is called.

        Raises:
            OSError: The stream broke; or another one of CONNECTION_ERRORS.
        """
        while True:
            while self.queue:
                await self._send(self._next_data())
            if self._finishing:
                return
            self._woken = anyio.Event()
            await self._woken.wait()

    def _next_data(self):
        """Removes data from the queue: one item if there is an `on_sent` callback, else all."""
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
        """Returns received bytes; none at the end of the stream, whether it was closed or broke."""
        try:
            return await self.stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return b""
