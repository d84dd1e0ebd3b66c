"""A TCP address behind which streams are relayed to another one, through a link for each direction."""

import socket
import struct

import anyio

STREAM_END_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.BusyResourceError,
)
SECOND_NS = 10**9
POLL_S = 0.02  # between two looks at a closed link by a stream that waits on it
MAX_CHUNKS_IN_FLIGHT = 64  # parts of a stream that are under way at most: then its sender feels it
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER of no time: closing sends a reset, drops what was unsent


def now():
    """The event loop's time, ns."""
    return round(anyio.current_time() * SECOND_NS)


class TcpRelay:
    """Relays each stream from a port to an address.

    Args:
        port: of loopback, where it listens.
        target: gives the address when a stream is opened.
        there: the DirectedLink towards the target.
        back: the DirectedLink from it.
        streams: a set in which each stream's function that resets it stands while the stream is open.
        tap: gives for each stream a function that sees the bytes that came back, when they are passed on.
    """

    def __init__(self, port, target, forward, backward, streams, make_tap=None):
        self.port = port
        self.target = target
        self.forward = forward
        self.backward = backward
        self.streams = streams
        self.make_tap = make_tap or (lambda: _ignore)

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Listens until cancelled."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=self.port)
        async with listener:
            task_status.started()
            await listener.serve(self.relay_stream)

    async def relay_stream(self, client):
        """Relays one stream both ways; when either end closes, so does the other."""
        try:
            async with client:
                while not self.forward.open:  # a machine that is cut off answers no call
                    await anyio.sleep(POLL_S)
                host, _, port = self.target().rpartition(":")
                async with await anyio.connect_tcp(host, int(port)) as server:
                    await self._relay(client, server)
        except* STREAM_END_ERRORS:
            pass

    async def _relay(self, client, server):
        was_reset = False
        async with anyio.create_task_group() as group:

            def reset():
                nonlocal was_reset
                was_reset = True
                group.cancel_scope.cancel()

            self.streams.add(reset)
            try:
                group.start_soon(self._carry, self.forward, client, server, group, _ignore)
                await self._carry(self.backward, server, client, group, self.make_tap())
                group.cancel_scope.cancel()
            finally:
                self.streams.discard(reset)
                if was_reset:
                    for end in (client, server):
                        raw = end.extra(anyio.abc.SocketAttribute.raw_socket)
                        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    async def _carry(self, link, source, sink, group, on_passed):
        """Carries parts in their order, each held back as the link says."""
        chunk_sender, chunk_receiver = anyio.create_memory_object_stream(MAX_CHUNKS_IN_FLIGHT)
        try:
            async with chunk_sender, chunk_receiver, anyio.create_task_group() as carry_group:
                carry_group.start_soon(self._deliver, link, chunk_receiver, sink, group, on_passed)
                while True:
                    data = await source.receive()
                    await chunk_sender.send((now() + link.stream_delay(), data))
        except* STREAM_END_ERRORS:
            group.cancel_scope.cancel()

    async def _deliver(self, link, chunk_receiver, sink, group, on_passed):
        try:
            while True:
                due, data = await chunk_receiver.receive()
                if (wait := due - now()) > 0:
                    await anyio.sleep(wait / SECOND_NS)
                while not link.open:
                    await anyio.sleep(POLL_S)
                await sink.send(data)
                on_passed(data)
        except STREAM_END_ERRORS:
            group.cancel_scope.cancel()


def _ignore(data):
    """Stands for a tap where nobody looks."""
