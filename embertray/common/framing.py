"""Length-prefixed frames: four bytes of length, most significant first, then so many bytes.

Sans-I/O in the manner of h11: bytes in, frames out, one error for what can't be a frame.
"""

import struct

PREFIX = struct.Struct(">I")
MOST = 1 << 20  # bytes; a whole table of 5,000 lines takes a fifth of it, so more is garbage


class BadFrame(ValueError):
    """What came can't be a frame; `code` is the word for counters and for the peer."""

    def __init__(self, code, text):
        super().__init__(text)
        self.code = code


def frame(payload, most=MOST):
    """One frame's bytes. Raises BadFrame if the payload is over `most` bytes."""
    if len(payload) > most:
        raise BadFrame("oversized", f"a frame of {len(payload)} bytes, {most} at most")
    return PREFIX.pack(len(payload)) + payload


class Splitter:
    """Cuts a byte stream into frames; holds at most one unfinished frame."""

    def __init__(self, most=MOST):
        self.most, self.held = most, bytearray()

    def feed(self, data):
        """The frames (bytes) that `data` completes. Raises BadFrame as soon as a length is announced that no
        frame may have, before anything of it is kept."""
        self.held += data
        found, at = [], 0
        while len(self.held) - at >= PREFIX.size:
            (size,) = PREFIX.unpack_from(self.held, at)
            if not 0 < size <= self.most:
                raise BadFrame(
                    "oversized" if size else "empty", f"a frame of {size} bytes, 1 to {self.most} allowed"
                )
            if len(self.held) - at - PREFIX.size < size:
                break
            at += PREFIX.size
            found.append(bytes(self.held[at : at + size]))
            at += size
        del self.held[:at]
        return found

    def end(self):
        """To be called at the stream's end: raises BadFrame if it stopped within a frame."""
        if self.held:
            raise BadFrame("cut", f"the stream ended {len(self.held)} bytes into a frame")
