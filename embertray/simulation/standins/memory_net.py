"""In-memory streams between addresses, in place of loopback TCP."""

from collections import deque

import anyio
from anyio.abc import ByteStream

BUFFER_BYTES_MAX = 64 * 1024  # buffered for a slow reader, as a socket does
RECEIVE_BYTES_MAX = 1 << 20


class MemoryStream(ByteStream):
    """One end of a stream.

    Args:
        gate: the ProcessGate of the process that uses this end; None: it is never paused.

    Attributes:
        peer: the other end.
        buffered: bytes that wait here to be received.
    """

    def __init__(self, gate=None):
        self.gate = gate
        self.peer = None
        self.chunks = deque()
        self.buffered = 0
        self.readable = anyio.Event()
        self.writable = anyio.Event()
        self.closed = False
        self.ended = False
        self.broken = False
        if gate:
            gate.streams[self] = True

    async def _pass_gate(self):
        """Waits while the process is paused; raises anyio.ClosedResourceError on a closed stream."""
        if self.gate:
            await self.gate.wait_open()
        if self.closed:
            raise anyio.ClosedResourceError

    async def send(self, data):
        """Sends bytes; waits while the peer's buffer is full.

        Args:
            data: the bytes.

        Raises:
            anyio.ClosedResourceError: this end is closed.
            anyio.BrokenResourceError: the other end is closed, or the stream was reset.
        """
        await self._wait_writable()
        self.peer.chunks.append(bytes(data))
        self.peer.buffered += len(data)
        self.peer.readable.set()

    async def _wait_writable(self):
        while True:
            await self._pass_gate()
            if self.broken or self.peer.closed:
                raise anyio.BrokenResourceError
            if self.peer.buffered < BUFFER_BYTES_MAX:
                return
            self.peer.writable = anyio.Event()
            await self.peer.writable.wait()

    async def receive(self, max_bytes=RECEIVE_BYTES_MAX):
        """Receives bytes; waits for the first.

        Args:
            max_bytes: return no more than this many.

        Returns:
            At least one byte.

        Raises:
            anyio.ClosedResourceError: this end is closed.
            anyio.BrokenResourceError: the stream was reset.
            anyio.EndOfStream: the other end has sent all.
        """
        while True:
            await self._pass_gate()
            if self.broken:
                raise anyio.BrokenResourceError
            if self.chunks:
                return self._take(max_bytes)
            if self.ended:
                raise anyio.EndOfStream
            self.readable = anyio.Event()
            await self.readable.wait()

    def _take(self, max_bytes):
        data = b"".join(self.chunks)
        rest = data[max_bytes:]
        self.chunks.clear()
        if rest:
            self.chunks.append(rest)
        self.buffered = len(rest)
        self.writable.set()
        return data[:max_bytes]

    async def send_eof(self):
        """Signals the end of data to the other end."""
        self.peer.ended = True
        self.peer.readable.set()

    async def aclose(self):
        """Closes this end; the other can still read what was sent."""
        if not self.closed:
            self.closed = True
            self.peer.ended = True
            if self.gate:
                self.gate.streams.pop(self, None)
            for event in (self.peer.readable, self.readable, self.writable):
                event.set()

    def reset(self):
        """Breaks both ends at once; what was in flight is lost."""
        for end in (self, self.peer):
            end.broken = True
            end.chunks.clear()
            for event in (end.readable, end.writable):
                event.set()


class MemoryNet:
    """Streams in memory between addresses of the same form as on loopback."""

    def __init__(self):
        self.listeners = {}
        self.last_port = 20000

    async def listen(self, address, gate=None):
        """Listens on an address.

        Args:
            address: "host:port"; port 0 takes one that is free.
            gate: the ProcessGate of the process that listens.

        Returns:
            A MemoryListener.

        Raises:
            OSError: the address is in use.
        """
        host, _, port = address.rpartition(":")
        if port == "0":
            self.last_port += 1
            address = f"{host}:{self.last_port}"
        if address in self.listeners:
            raise OSError(f"{address} is in use")
        listener = MemoryListener(self, address, gate)
        self.listeners[address] = listener
        return listener

    async def dial(self, address, gate=None):
        """Opens a stream to an address.

        Args:
            address: "host:port".
            gate: the ProcessGate of the process that dials.

        Returns:
            The near end, a MemoryStream.

        Raises:
            ConnectionRefusedError: nobody listens there.
        """
        listener = self.listeners.get(address)
        if listener is None:
            raise ConnectionRefusedError(f"nobody listens on {address}")
        near = MemoryStream(gate)
        far = MemoryStream(listener.gate)
        near.peer = far
        far.peer = near
        listener.backlog.append(far)
        listener.dialled.set()
        return near


class MemoryListener:
    """Accepts the streams that are opened to one address.

    Attributes:
        address: "host:port".
        backlog: streams that were opened and not accepted yet.
    """

    def __init__(self, net, address, gate):
        self.net = net
        self.address = address
        self.gate = gate
        self.backlog = deque()
        self.dialled = anyio.Event()

    async def serve(self, handler, group):
        """Accepts until cancelled.

        Args:
            handler: coroutine function called with each stream.
            group: the task group that runs it.
        """
        while True:
            if self.gate:
                await self.gate.wait_open()
            while self.backlog:
                group.start_soon(handler, self.backlog.popleft())
            self.dialled = anyio.Event()
            await self.dialled.wait()

    async def aclose(self):
        """Stops listening."""
        self.close()

    def close(self):
        """Stops listening; streams that were not accepted break."""
        if self.net.listeners.get(self.address) is self:
            del self.net.listeners[self.address]
        while self.backlog:
            self.backlog.popleft().reset()
