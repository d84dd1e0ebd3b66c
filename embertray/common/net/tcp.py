"""TCP listeners and connections, on loopback unless other addresses are allowed."""

import socket
from contextlib import suppress

import anyio

from .address import format_address, parse_loopback

BACKLOG = 4096  # connections waiting to be accepted: all proxies of a fleet may dial at once


class TcpNet:
    """Listens on and dials addresses host:port.

    Args:
        parse: Parses an address to (host, port) and raises AddressError if it is not allowed:
            `parse_loopback`, or `parse_address` for a controller with addresses of other hosts.
    """

    def __init__(self, parse=parse_loopback):
        self.parse = parse

    async def listen(self, address):
        """Listens on an address; port 0 selects a free port.

        Returns:
            A TcpListener.

        Raises:
            OSError: Listening on the address failed.
            AddressError: The address is not allowed.
        """
        host, port = self.parse(address)
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port, backlog=BACKLOG)
        return TcpListener(listener)

    async def dial(self, address):
        """Connects to an address.

        Returns:
            A byte stream with TCP_NODELAY, which sends small messages without delay.

        Raises:
            OSError: The connection failed.
            AddressError: The address is not allowed.
        """
        host, port = self.parse(address)
        stream = await anyio.connect_tcp(host, port)
        raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return stream


class TcpListener:
    """Accepts connections.

    Args:
        listener: anyio's listener.

    Attributes:
        address: The listening address, with the actual port.
    """

    def __init__(self, listener):
        self.listener = listener
        self.address = format_address(*listener.extra(anyio.abc.SocketAttribute.local_address)[:2])

    async def serve(self, handler, group):
        """Starts handler(stream) in the task group for each connection, until cancelled."""
        await self.listener.serve(handler, group)

    async def accept(self):
        """Returns the stream of the next connection.

        Returns None if the peer has disconnected already, or if the process has no free descriptor: a flood
        of connections must not stop the listener.
        """
        with suppress(OSError, anyio.BrokenResourceError):
            return await self.listener.listeners[0].accept()

    async def aclose(self):
        """Stops listening."""
        await self.listener.aclose()
