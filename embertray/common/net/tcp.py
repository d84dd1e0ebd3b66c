"""TCP: listens and dials, nothing more; on loopback unless other addresses are allowed."""

import socket
from contextlib import suppress

import anyio

from .address import format_address, parse_loopback

BACKLOG = 4096  # connections that wait to be accepted: a fleet's proxies dial all at once


class TcpNet:
    """Listens on and dials addresses host:port.

    Args:
        parse: Gives (host, port) of an address, and raises AddressError for one that is not allowed:
            `parse_loopback`, or `parse_address` for a controller whose configuration names other machines.
    """

    def __init__(self, parse=parse_loopback):
        self.parse = parse

    async def listen(self, address):
        """Listens on an address; port 0 is any free one.

        Returns:
            A TcpListener.

        Raises:
            OSError: The address can't be listened on.
            AddressError: It is not allowed.
        """
        host, port = self.parse(address)
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port, backlog=BACKLOG)
        return TcpListener(listener)

    async def dial(self, address):
        """Connects to an address.

        Returns:
            A byte stream, which sends small messages at once.

        Raises:
            OSError: Nobody answers there.
            AddressError: The address is not allowed.
        """
        host, port = self.parse(address)
        stream = await anyio.connect_tcp(host, port)
        raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return stream


class TcpListener:
    """Accepts streams.

    Args:
        listener: anyio's listener.

    Attributes:
        address: Where it listens, with the true port.
    """

    def __init__(self, listener):
        self.listener = listener
        self.address = format_address(*listener.extra(anyio.abc.SocketAttribute.local_address)[:2])

    async def serve(self, handler, group):
        """Calls handler(stream) in the task group for each stream, until cancelled."""
        await self.listener.serve(handler, group)

    async def accept(self):
        """Returns the next stream.

        None if it was gone again, or if the process has no descriptor for it now: a flood of connections
        must not end the listener.
        """
        with suppress(OSError, anyio.BrokenResourceError):
            return await self.listener.listeners[0].accept()

    async def aclose(self):
        """Stops listening."""
        await self.listener.aclose()
