"""Relays TCP streams to another address, with the faults of a simulated link in each direction."""

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
POLL_S = 0.02  # between two checks of whether a blocked link is open again
MAX_CHUNKS_IN_FLIGHT = 64  # per direction; beyond it the sender is blocked by back-pressure
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # zero SO_LINGER: closing sends a reset and drops unsent data


def now():
    """The event loop's time, ns."""
    return round(anyio.current_time() * SECOND_NS)


class TcpRelay:
    """Relays each stream from a loopback port to an address.

    Args:
        port: the port on which it listens.
        target: called for each stream; returns the address to relay to.
        forward: the link towards the target.
        backward: the link from the target.
        streams: a set that holds, for each open stream, a function that resets it.
        make_tap: called for each stream; returns a function that is called with the target's data once it has
            been delivered.
    """

    def __init__(self, port, target, forward, backward, streams, make_tap=None):
        self.port = port
        self.target = target
        self.forward = forward
        self.backward = backward
        self.streams = streams
        self.make_tap = make_tap or (lambda: _ignore)

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Listens and relays until cancelled."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=self.port)
        async with listener:
            task_status.started()
            await listener.serve(self.relay_stream)

    async def relay_stream(self, client):
        """Relays one stream both ways; when either end closes, so does the other."""
        try:
            async with client:
                while not self.forward.open:  # an unreachable machine does not answer
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
        """Relays one direction in order, each chunk delayed as the link decides."""
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
    """The tap of a direction that is not observed."""
