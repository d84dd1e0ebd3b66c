"""Messages of a state exchange on a TCP stream: framed msgpack."""

import msgspec

from embertray.cluster.state import Delta, Offer
from embertray.common.framing import FrameDecoder, encode_frame

from .exceptions import UnexpectedMessageError

encode_state_message = msgspec.msgpack.Encoder().encode
decode_state_message = msgspec.msgpack.Decoder(Offer | Delta).decode


class StateStream:
    """One end of a state exchange; data sent is counted and charged to the token bucket."""

    def __init__(self, stream, counters, bucket):
        """Wrap a connected stream.

        Args:
            stream: The stream.
            counters: LinkCounters.
            bucket: The TokenBucket.
        """
        self.stream = stream
        self.counters = counters
        self.bucket = bucket
        self.decoder = FrameDecoder()

    async def send(self, message):
        """Send a message.

        Args:
            message: An Offer or Delta.

        Raises:
            FrameError: It is too large for a frame.
            OSError, anyio.BrokenResourceError, anyio.ClosedResourceError: The stream broke.
        """
        data = encode_frame(encode_state_message(message))
        self.bucket.take(len(data))
        self.counters.on_state_sent(len(data))
        await self.stream.send(data)

    async def receive(self, expected):
        """Return the next message.

        Args:
            expected: Class of the expected message.

        Raises:
            FrameError: The received data is not a valid frame.
            msgspec.DecodeError: The frame does not contain a valid message.
            UnexpectedMessageError: The message is of another class.
            OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError: The stream
                broke, or ended.
        """
        payloads = []
        while not payloads:
            data = await self.stream.receive()
            self.counters.on_state_received(len(data))
            payloads = self.decoder.feed(data)
        message = decode_state_message(payloads[0])
        if not isinstance(message, expected):
            raise UnexpectedMessageError(type(message), expected)
        return message
