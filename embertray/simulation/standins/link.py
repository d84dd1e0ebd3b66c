"""Sends and receives typed messages over one stream."""

import anyio

from embertray.common.framing import FrameDecoder, FrameError, encode_frame
from embertray.common.net.queued_connection import QueuedConnection

# Raised when a stream cannot be opened or has ended.
STREAM_ERRORS = (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)


class Link:
    """A bidirectional connection of typed messages over one stream.

    Args:
        stream: the byte stream.
        encode: message -> payload of a frame.
        decode: payload of a frame -> message.
        on_message: called with each message that is received.
        on_end: called once, when the link has ended.

    Attributes:
        over: whether the link has ended; messages are then dropped.
    """

    def __init__(self, stream, encode, decode, on_message, on_end=None):
        self.conn = QueuedConnection(stream)
        self.encode = encode
        self.decode = decode
        self.on_message = on_message
        self.on_end = on_end
        self.scope = anyio.CancelScope()
        self.over = False

    def put(self, message):
        """Queues a message to be sent; it is dropped when the link has ended.

        Args:
            message: what `encode` takes.
        """
        if not self.over:
            self.conn.put(encode_frame(self.encode(message)))

    def cut(self):
        """Ends the link at once; what is queued is lost."""
        self.over = True
        self.scope.cancel()

    async def run(self):
        """Reads and writes until the stream ends, a frame is unreadable or `cut` is called."""
        try:
            async with self.conn.stream:
                with self.scope:
                    async with anyio.create_task_group() as group:
                        group.start_soon(self._write)
                        await self._read()
                        group.cancel_scope.cancel()
        except FrameError:  # a faulty peer ends its own link only
            pass
        finally:
            self.over = True
            if self.on_end:
                self.on_end()

    async def _read(self):
        decoder = FrameDecoder()
        while data := await self.conn.read():
            for payload in decoder.feed(data):
                self.on_message(self.decode(payload))

    async def _write(self):
        try:
            await self.conn.write()
        except STREAM_ERRORS:
            self.scope.cancel()
