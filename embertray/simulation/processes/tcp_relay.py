"""A TCP address behind which streams are relayed to another one, through a link for each direction."""

import socket
import struct

import anyio

BROKEN = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.BusyResourceError,
)
SECOND_NS = 10**9
POLL_S = 0.02  # between two looks at a closed link by a stream that waits on it
PARTS = 64  # parts of a stream that are under way at most: then its sender feels it
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER of no time: closing sends a reset, drops what was unsent


def now():
    """The event loop's time, ns."""
    return round(anyio.current_time() * SECOND_NS)


class TcpRelay:
    """Relays each stream from a port to an address.

    Args:
        port: of loopback, where it listens.
        target: gives the address when a stream is opened.
        there: the Way towards the target.
        back: the Way from it.
        streams: a set in which each stream's function that resets it stands while the stream is open.
        tap: gives for each stream a function that sees the bytes that came back, when they are passed on.
    """

    def __init__(self, port, target, there, back, streams, tap=None):
        self.port = port
        self.target = target
        self.there = there
        self.back = back
        self.streams = streams
        self.tap = tap or (lambda: _ignore)

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Listens until cancelled."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=self.port)
        async with listener:
            task_status.started()
            await listener.serve(self.stream)

    async def stream(self, near):
        """Relays one stream both ways; when either end closes, so does the other."""
        try:
            async with near:
                while not self.there.open:  # a machine that is cut off answers no call
                    await anyio.sleep(POLL_S)
                host, _, port = self.target().rpartition(":")
                async with await anyio.connect_tcp(host, int(port)) as far:
                    await self._relay(near, far)
        except* BROKEN:
            pass

    async def _relay(self, near, far):
        was_reset = False
        async with anyio.create_task_group() as group:

            def reset():
                nonlocal was_reset
                was_reset = True
                group.cancel_scope.cancel()

            self.streams.add(reset)
            try:
                group.start_soon(self._carry, self.there, near, far, group, _ignore)
                await self._carry(self.back, far, near, group, self.tap())
                group.cancel_scope.cancel()
            finally:
                self.streams.discard(reset)
                if was_reset:
                    for end in (near, far):
                        raw = end.extra(anyio.abc.SocketAttribute.raw_socket)
                        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    async def _carry(self, link, source, sink, group, on_passed):
        """Carries parts in their order, each held back as the link says."""
        put, take = anyio.create_memory_object_stream(PARTS)
        try:
            async with put, take, anyio.create_task_group() as both:
                both.start_soon(self._deliver, link, take, sink, group, on_passed)
                while True:
                    data = await source.receive()
                    await put.send((now() + link.hold(), data))
        except* BROKEN:
            group.cancel_scope.cancel()

    async def _deliver(self, link, take, sink, group, on_passed):
        try:
            while True:
                due, data = await take.receive()
                if (wait := due - now()) > 0:
                    await anyio.sleep(wait / SECOND_NS)
                while not link.open:
                    await anyio.sleep(POLL_S)
                await sink.send(data)
                on_passed(data)
        except BROKEN:
            group.cancel_scope.cancel()


def _ignore(data):
    """Stands for a tap where nobody looks."""
