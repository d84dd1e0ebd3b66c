"""Errors of a stream between a proxy and a controller."""

from embertray.common.framing import encode_frame

from .messages import Fault, encode

FAULT_TEXT_MAX = 500  # characters of the reason that is sent to the peer


class ProtocolError(ValueError):
    """The peer violated the protocol.

    Args:
        code: malformed | oversized | empty | cut | version | order | zone.
        text: The reason, for the peer and the log.
    """

    def __init__(self, code, text):
        super().__init__(text)
        self.code = code

    def fault(self):
        """Returns the frame of the Fault that is sent to the peer."""
        return encode_frame(encode(Fault(self.code, str(self)[:FAULT_TEXT_MAX])))
