"""Errors of the transports."""

import anyio

# The errors that reading, writing or dialling raise when the peer or the network ends a connection.
CONNECTION_ERRORS = (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)


class AddressError(ValueError):
    """An address is not of the form host:port, or its host is not allowed."""


class CallError(Exception):
    """An HTTP call failed.

    Args:
        reason: The cause, as text.
        sent: Whether the request was sent completely, so that it may have been executed.
    """

    def __init__(self, reason, sent):
        super().__init__(reason)
        self.sent = sent
