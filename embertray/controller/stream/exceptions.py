"""Errors of a stream between a proxy and a controller."""

from embertray.common.framing import encode_frame

from .messages import Fault, encode

FAULT_TEXT_MAX = 500  # characters of the reason that the peer gets


class ProtocolError(ValueError):
    """The peer broke the protocol.

    Args:
        code: malformed | oversized | empty | cut | version | order | zone.
        text: what was wrong, for the peer and the log.
    """

    def __init__(self, code, text):
        super().__init__(text)
        self.code = code

    def fault(self):
        """Returns the bytes of the one clear error that the peer gets."""
        return encode_frame(encode(Fault(self.code, str(self)[:FAULT_TEXT_MAX])))
