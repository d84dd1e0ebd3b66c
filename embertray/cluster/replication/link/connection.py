"""Frames over one byte stream: reading with a size limit, writing through a bounded queue."""

from collections import deque
from enum import Enum

import anyio
import msgspec

from embertray.common.framing import frame

BROKEN = (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)
SEND_WITHIN = 10  # s for one message; a peer that takes nothing for so long is gone
READ_BYTES = 64 << 10  # read at once

REPLICA_FRAME_MOST = 12 << 20  # bytes; a whole state (pace.STATE_BYTES_MOST, 8 MiB) may travel, with framing
FROM_SUBSCRIBER_FRAME_MOST = 64 << 10  # bytes; a Repair with all its digests takes 640
TO_SUBSCRIBER_FRAME_MOST = 256 << 10  # bytes; an inventory of 256 keys of 256 bytes each takes 72 KiB


class Overflow(Enum):
    """Which message a full queue drops."""

    DROP_OLDEST = "oldest"
    DROP_NEWEST = "newest"


class Traffic(msgspec.Struct):
    """What went over the connections of one process, in total."""

    bytes_in: int = 0
    bytes_out: int = 0
    messages_in: int = 0
    messages_out: int = 0
    dropped: int = 0  # messages that a full queue did not take, or that had no connection
    rejected: int = 0  # connections that were ended for what they sent, or for sending nothing


class Connection:
    """`put` never waits: at most `queued_most` messages wait for the stream, beside the one being written."""

    def __init__(self, stream, traffic, queued_most, overflow):
        self.stream, self.traffic = stream, traffic
        self.queued_most, self.overflow = queued_most, overflow
        self.queue, self.wake = deque(), anyio.Event()
        self.scope, self.name = anyio.CancelScope(), ""  # the peer's name, once it is known

    def put(self, data):
        """Queues an encoded message. False if one was dropped for it, or it was dropped itself."""
        fits = len(self.queue) < self.queued_most
        if not fits:
            self.traffic.dropped += 1
            if self.overflow is Overflow.DROP_NEWEST:
                return False
            self.queue.popleft()
        self.queue.append(data)
        self.wake.set()
        return fits

    def close(self):
        """Ends what runs in the connection's scope; who runs it closes the stream."""
        self.scope.cancel()

    async def write(self):
        """Writes what is put, until the stream breaks: that raises one of BROKEN."""
        while True:
            while self.queue:
                data = frame(self.queue.popleft(), REPLICA_FRAME_MOST)
                with anyio.fail_after(SEND_WITHIN):
                    await self.stream.send(data)
                self.traffic.bytes_out += len(data)
                self.traffic.messages_out += 1
            self.wake = anyio.Event()
            await self.wake.wait()

    async def read(self, splitter):
        """The next messages, undecoded; at least one. Raises one of BROKEN, or BadFrame."""
        while True:
            data = await self.stream.receive(READ_BYTES)
            self.traffic.bytes_in += len(data)
            payloads = splitter.feed(data)
            if payloads:
                self.traffic.messages_in += len(payloads)
                return payloads
