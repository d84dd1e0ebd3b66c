"""Errors of the transports."""

import anyio

# What reading, writing or dialling raises when the peer or the network ends a connection.
CONNECTION_ERRORS = (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)
