"""Frames over one byte stream: reading with a size limit, writing through a bounded queue."""

from collections import deque
from enum import Enum

import anyio
import msgspec

from embertray.common.framing import encode_frame

CONNECTION_ERRORS = (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)
SEND_TIMEOUT_S = 10  # for one message; a peer that takes nothing for so long is gone
READ_CHUNK_BYTES = 64 << 10  # read at once

# bytes of the largest frame that is accepted
MAX_REPLICA_FRAME_BYTES = (
    12 << 20
)  # a whole state (replica_core.MAX_STATE_BYTES, 8 MiB) may travel, with framing
MAX_FRAME_FROM_SUBSCRIBER_BYTES = 64 << 10  # a Repair with all its digests takes 640
MAX_FRAME_TO_SUBSCRIBER_BYTES = 256 << 10  # an inventory of 256 keys of 256 bytes each takes 72 KiB


class Overflow(Enum):
    """Which message a full queue drops."""

    DROP_OLDEST = "oldest"
    DROP_NEWEST = "newest"


class Traffic(msgspec.Struct):
    """Totals over all connections of one process. The names are those of JSON and metrics.

    Attributes:
        bytes_in: received, frames included.
        bytes_out: sent, frames included.
        messages_in: received.
        messages_out: sent.
        dropped: messages that a full queue did not take, that had no connection, or whose connection ended
            before they were written.
        rejected: connections that were ended for what they sent, or for sending nothing.
    """

    bytes_in: int = 0
    bytes_out: int = 0
    messages_in: int = 0
    messages_out: int = 0
    dropped: int = 0
    rejected: int = 0


class Connection:
    """One stream. `put` never waits, so that a slow peer delays nobody else.

    Args:
        stream: the byte stream; whoever opened it closes it.
        traffic: the Traffic to count in.
        max_queued: messages that may wait, beside the one being written.
        overflow: an Overflow.

    Attributes:
        scope: cancelled by `close`; the connection's tasks run in it.
        name: the peer's name, "" until it is known.
    """

    def __init__(self, stream, traffic, max_queued, overflow):
        self.stream = stream
        self.traffic = traffic
        self.max_queued = max_queued
        self.overflow = overflow
        self.queue = deque()
        self.wake = anyio.Event()
        self.scope = anyio.CancelScope()
        self.name = ""

    def put(self, data):
        """Queues an encoded message.

        Returns:
            False if it was dropped, or another one for it.
        """
        fits = len(self.queue) < self.max_queued
        if not fits:
            self.traffic.dropped += 1
            if self.overflow is Overflow.DROP_NEWEST:
                return False
            self.queue.popleft()
        self.queue.append(data)
        self.wake.set()
        return fits

    def close(self):
        """Ends what runs in the connection's scope; whoever runs it closes the stream."""
        self.scope.cancel()

    async def write(self):
        """Writes queued messages until the stream breaks, which raises one of CONNECTION_ERRORS."""
        try:
            while True:
                while self.queue:
                    await self._write_next()
                self.wake = anyio.Event()
                await self.wake.wait()
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
            At least one message, not yet decoded.

        Raises:
            FrameError: what came is no frame, or too large.
            OSError: or another of CONNECTION_ERRORS; the stream broke.
        """
        while True:
            data = await self.stream.receive(READ_CHUNK_BYTES)
            self.traffic.bytes_in += len(data)
            payloads = decoder.feed(data)
            if payloads:
                self.traffic.messages_in += len(payloads)
                return payloads
