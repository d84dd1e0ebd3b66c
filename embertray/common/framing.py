"""Length-prefixed frames: four bytes of length, most significant first, then so many bytes.

Sans-I/O in the manner of h11: bytes in, frames out, one error for what can't be a frame.
"""

import struct

PREFIX = struct.Struct(">I")
MAX_FRAME_BYTES = 1 << 20  # bytes; a whole table of 5,000 lines takes a fifth of it, so more is garbage


class FrameError(ValueError):
    """What came can't be a frame; `code` is the word for counters and for the peer."""

    def __init__(self, code, text):
        super().__init__(text)
        self.code = code


def encode_frame(payload, max_bytes=MAX_FRAME_BYTES):
    """One frame's bytes. Raises FrameError if the payload is over `most` bytes."""
    if len(payload) > max_bytes:
        raise FrameError("oversized", f"a frame of {len(payload)} bytes, {max_bytes} at most")
    return PREFIX.pack(len(payload)) + payload


class FrameDecoder:
    """Cuts a byte stream into frames; holds at most one unfinished frame."""

    def __init__(self, max_bytes=MAX_FRAME_BYTES):
        self.max_bytes, self.buffer = max_bytes, bytearray()

    def feed(self, data):
        """The frames (bytes) that `data` completes. Raises FrameError as soon as a length is announced that
        no frame may have, before anything of it is kept."""
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
        """To be called at the stream's end: raises FrameError if it stopped within a frame."""
        if self.buffer:
            raise FrameError("cut", f"the stream ended {len(self.buffer)} bytes into a frame")
