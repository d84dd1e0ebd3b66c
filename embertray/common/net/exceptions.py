"""Errors of the transports."""

import anyio

# What reading, writing or dialling raises when the peer or the network ends a connection.
CONNECTION_ERRORS = (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)


class AddressError(ValueError):
    """An address has another form than host:port, or its host is not allowed."""


class CallError(Exception):
    """An HTTP call failed.

    Args:
        reason: Why, in words.
        sent: Whether the request's last byte had gone: it may have been carried out.
    """

    def __init__(self, reason, sent):
        super().__init__(reason)
        self.sent = sent
