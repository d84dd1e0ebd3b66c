"""Length-prefixed frames: a length of four bytes, big-endian, followed by the payload.

Sans-I/O, like h11: bytes in, frames out, and one error type for invalid frames.
"""

import struct

PREFIX = struct.Struct(">I")
MAX_FRAME_BYTES = 1 << 20  # a complete table of 5,000 lines takes a fifth of it, so a longer frame is invalid


class FrameError(ValueError):
    """An invalid frame; `code` identifies the error in counters and to the peer."""

    def __init__(self, code, text):
        super().__init__(text)
        self.code = code


def encode_frame(payload, max_bytes=MAX_FRAME_BYTES):
    """Return the bytes of a frame. Raises FrameError if the payload exceeds `max_bytes`."""
    if len(payload) > max_bytes:
        raise FrameError("oversized", f"frame of {len(payload)} bytes exceeds the limit of {max_bytes}")
    return PREFIX.pack(len(payload)) + payload


class FrameDecoder:
    """Incrementally decodes a byte stream into frames; buffers at most one incomplete frame."""

    def __init__(self, max_bytes=MAX_FRAME_BYTES):
        self.max_bytes, self.buffer = max_bytes, bytearray()

    def feed(self, data):
        """Return the payloads (bytes) of the frames completed by `data`.

        Raises FrameError as soon as an invalid length is received, before any of that frame is buffered.
        """
        self.buffer += data
        frames, offset = [], 0
        while len(self.buffer) - offset >= PREFIX.size:
            (size,) = PREFIX.unpack_from(self.buffer, offset)
            if not 0 < size <= self.max_bytes:
                raise FrameError(
                    "oversized" if size else "empty",
                    f"a frame of {size} bytes, 1 to {self.max_bytes} allowed",
                )
            if len(self.buffer) - offset - PREFIX.size < size:
                break
            offset += PREFIX.size
            frames.append(bytes(self.buffer[offset : offset + size]))
            offset += size
        del self.buffer[:offset]
        return frames

    def end(self):
        """Must be called at the end of the stream: raises FrameError if it ended within a frame."""
        if self.buffer:
            raise FrameError("cut", f"the stream ended {len(self.buffer)} bytes into a frame")
