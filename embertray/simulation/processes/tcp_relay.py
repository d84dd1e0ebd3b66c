"""An address of the rig's behind which streams are passed on to another one, through a way for each
direction.
"""

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
LOOK = 0.02  # s between two looks at a closed way by a stream that waits on it
PARTS = 64  # parts of a stream that are under way at most: then its sender feels it


def now():
    return round(anyio.current_time() * 1e9)


class TcpRelay:
    """From `port` to `target()`, an address. `there`, `back`: the ways; `streams`: where what ends each
    stream is kept. `tap()`: for each stream a function that sees the bytes that came back, when they are
    passed on."""

    def __init__(self, port, target, there, back, streams, tap=None):
        self.port, self.target, self.there, self.back, self.streams = port, target, there, back, streams
        self.tap = tap or (lambda: lambda data: None)

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=self.port)
        async with listener:
            task_status.started()
            await listener.serve(self.stream)

    async def stream(self, near):
        """What goes to the target passes `there`, what comes from it `back`. Either end's end is the
        other's.
        """
        reset = []
        try:
            async with near:
                while not self.there.open:  # a machine that is cut off answers no call
                    await anyio.sleep(LOOK)
                host, _, port = self.target().rpartition(":")
                async with (
                    await anyio.connect_tcp(host, int(port)) as far,
                    anyio.create_task_group() as group,
                ):

                    def end():
                        reset.append(True)
                        group.cancel_scope.cancel()

                    self.streams.add(end)
                    try:
                        group.start_soon(self.carry, self.there, near, far, group, lambda data: None)
                        await self.carry(self.back, far, near, group, self.tap())
                        group.cancel_scope.cancel()
                    finally:
                        self.streams.discard(end)
                        if reset:
                            for one in (near, far):  # closing sends a reset and drops what was not sent
                                raw = one.extra(anyio.abc.SocketAttribute.raw_socket)
                                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except* BROKEN:
            pass

    async def carry(self, way, source, to, group, seen):
        """Parts in their order, each held back as the way says."""
        put, take = anyio.create_memory_object_stream(PARTS)
        try:
            async with put, take, anyio.create_task_group() as both:
                both.start_soon(self.deliver, way, take, to, group, seen)
                while True:
                    data = await source.receive()
                    await put.send((now() + way.hold(), data))
        except* BROKEN:
            group.cancel_scope.cancel()

    async def deliver(self, way, take, to, group, seen):
        try:
            while True:
                due, data = await take.receive()
                if (wait := due - now()) > 0:
                    await anyio.sleep(wait / 1e9)
                while not way.open:
                    await anyio.sleep(LOOK)
                await to.send(data)
                seen(data)
        except BROKEN:
            group.cancel_scope.cancel()
