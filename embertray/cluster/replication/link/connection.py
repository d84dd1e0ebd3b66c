"""Framed messages over a byte stream: reads with a size limit, writes through a bounded queue."""

from collections import deque
from enum import Enum

import anyio
import msgspec

from embertray.common.framing import encode_frame

CONNECTION_ERRORS = (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)
SEND_TIMEOUT_S = 10  # per message; a peer that accepts no data for this long is considered gone
READ_CHUNK_BYTES = 64 << 10

# Largest frames that are accepted. Between replicas a frame may carry a whole state
# (replica_core.MAX_STATE_BYTES, 8 MiB) with its framing.
MAX_REPLICA_FRAME_BYTES = 12 << 20
MAX_FRAME_FROM_SUBSCRIBER_BYTES = 64 << 10  # a Repair with all digests takes 640 bytes
MAX_FRAME_TO_SUBSCRIBER_BYTES = 256 << 10  # an Inventory of 256 keys of 256 bytes each takes 72 KiB


class Overflow(Enum):
    """The message that a full queue drops."""

    DROP_OLDEST = "oldest"
    DROP_NEWEST = "newest"


class Traffic(msgspec.Struct):
    """Totals over all connections of one process. The field names appear in JSON and metrics.

    Attributes:
        bytes_in: bytes received, including frame headers.
        bytes_out: bytes sent, including frame headers.
        messages_in: messages received.
        messages_out: messages sent.
        dropped: messages dropped because a queue was full, there was no connection, or the connection ended
            before they were written.
        rejected: connections closed because of what they sent, or because they sent nothing.
    """

    bytes_in: int = 0
    bytes_out: int = 0
    messages_in: int = 0
    messages_out: int = 0
    dropped: int = 0
    rejected: int = 0


class Connection:
    """A message connection over one stream. `put` never blocks, so that a slow peer does not delay others.

    Args:
        stream: the byte stream; the code that opened it has to close it.
        traffic: the Traffic to count in.
        max_queued: maximum number of queued messages, not counting the one being written.
        overflow: an Overflow.

    Attributes:
        scope: cancel scope in which the connection's tasks run; `close` cancels it.
        name: the peer's name, "" until it is known.
    """

    def __init__(self, stream, traffic, max_queued, overflow):
        self.stream = stream
        self.traffic = traffic
        self.max_queued = max_queued
        self.overflow = overflow
        self.queue = deque()
        self.message_queued = anyio.Event()
        self.scope = anyio.CancelScope()
        self.name = ""

    def put(self, data):
        """Queues an encoded message.

        Returns:
            False if the queue was full, and this or another message was dropped.
        """
        fits = len(self.queue) < self.max_queued
        if not fits:
            self.traffic.dropped += 1
            if self.overflow is Overflow.DROP_NEWEST:
                return False
            self.queue.popleft()
        self.queue.append(data)
        self.message_queued.set()
        return fits

    def close(self):
        """Cancels the connection's tasks; the code that runs them closes the stream."""
        self.scope.cancel()

    async def write(self):
        """Writes queued messages until the stream breaks, which raises one of CONNECTION_ERRORS."""
        try:
            while True:
                while self.queue:
                    await self._write_next()
                self.message_queued = anyio.Event()
                await self.message_queued.wait()
        finally:
            self.traffic.dropped += len(self.queue)

    async def _write_next(self):
        data = encode_frame(self.queue.popleft(), MAX_REPLICA_FRAME_BYTES)
        with anyio.fail_after(SEND_TIMEOUT_S):
            await self.stream.send(data)
        self.traffic.bytes_out += len(data)
        self.traffic.messages_out += 1

    async def read(self, decoder):
        """Reads the next messages.

        Args:
            decoder: a FrameDecoder with the size limit of this connection.

        Returns:
            One or more encoded messages.

        Raises:
            FrameError: what came is no frame, or too large.
            OSError: or another of CONNECTION_ERRORS: the stream is broken.
        """
        while True:
            data = await self.stream.receive(READ_CHUNK_BYTES)
            self.traffic.bytes_in += len(data)
            payloads = decoder.feed(data)
            if payloads:
                self.traffic.messages_in += len(payloads)
                return payloads
