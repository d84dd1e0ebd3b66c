"""TCP on loopback, for the daemon and for stand-ins: listen and dial, nothing more."""
import socket

import anyio

from .address import joined, loopback


class TcpNet:
    """Addresses are host:port; port 0 listens on a free one."""

    async def listen(self, address):
        """A listener with its true `address`. Raises OSError, BadAddress."""
        host, port = loopback(address)
        return TcpListener(await anyio.create_tcp_listener(local_host=host, local_port=port, backlog=4096))

    async def dial(self, address):
        """A byte stream. Raises OSError, BadAddress."""
        host, port = loopback(address)
        stream = await anyio.connect_tcp(host, port)
        stream.extra(anyio.abc.SocketAttribute.raw_socket).setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return stream


class TcpListener:
    def __init__(self, listener):
        self.listener = listener
        self.address = joined(*listener.extra(anyio.abc.SocketAttribute.local_address)[:2])

    async def serve(self, handler, group):
        """Calls handler(stream) in `group` for each stream, until cancelled."""
        await self.listener.serve(handler, group)

    async def aclose(self):
        await self.listener.aclose()
