"""TCP for daemon, platform and stand-ins: listen and dial, nothing more; on loopback unless told other
addresses.
"""

import socket
from contextlib import suppress

import anyio

from .address import joined, loopback


class TcpNet:
    """Addresses are host:port; port 0 listens on a free one. `parse` says which are allowed:
    address.loopback, or address.plain for a controller whose configuration names other machines."""

    def __init__(self, parse=loopback):
        self.parse = parse

    async def listen(self, address):
        """A listener with its true `address`. Raises OSError, BadAddress."""
        host, port = self.parse(address)
        return TcpListener(await anyio.create_tcp_listener(local_host=host, local_port=port, backlog=4096))

    async def dial(self, address):
        """A byte stream. Raises OSError, BadAddress."""
        host, port = self.parse(address)
        stream = await anyio.connect_tcp(host, port)
        stream.extra(anyio.abc.SocketAttribute.raw_socket).setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        return stream


class TcpListener:
    def __init__(self, listener):
        self.listener = listener
        self.address = joined(*listener.extra(anyio.abc.SocketAttribute.local_address)[:2])

    async def serve(self, handler, group):
        """Calls handler(stream) in `group` for each stream, until cancelled."""
        await self.listener.serve(handler, group)

    async def accept(self):
        """The next stream; None if it was gone again, or if the process has no descriptor for it now."""
        with suppress(OSError, anyio.BrokenResourceError):
            return await self.listener.listeners[0].accept()

    async def aclose(self):
        await self.listener.aclose()
