"""Virtual time and streams in memory: the same daemon and stand-ins, a day in the time that its work takes.

The loop is asyncio's own, first in first out; when it would wait, its clock jumps to the next timer instead.
So the same day with the same seed is the same run. docs/design/controller.md compares this with other ways.
"""

import asyncio
import selectors
from collections import deque

import anyio
from anyio.abc import ByteStream

from embertray.common.net.clock import LoopClock

START = 1000.0  # s on the virtual clock at the start: what started "long ago" lies before it
MOST_HELD = 64 * 1024  # bytes a stream holds for a reader that does not read, as a socket does


class Stuck(RuntimeError):
    """Nothing waits for any time: the run would hang for ever."""


class Jumping(selectors.DefaultSelector):
    """In place of waiting it moves the loop's clock."""

    loop = None

    def select(self, timeout=None):
        found = super().select(0)
        if not found and (timeout is None or timeout > 0):
            if timeout is None:
                raise Stuck("nothing is left that could happen")
            self.loop.virtual += timeout
        return found


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self):
        self.virtual = START
        selector = Jumping()
        selector.loop = self
        super().__init__(selector)

    def time(self):
        return self.virtual


def run(main, *args):
    """anyio.run in virtual time."""
    return anyio.run(main, *args, backend_options={"loop_factory": VirtualLoop})


class VirtualClock(LoopClock):
    """`jump` moves the wall clock against the loop's, as a clock that is set does."""

    def __init__(self):
        self.jump = 1_700_000_000 * 10**9

    def wall(self):
        return self.now() + self.jump


class Gate:
    """Shut while a process stands still."""

    def __init__(self):
        self.open, self.streams = None, {}

    def shut(self):
        self.open = self.open or anyio.Event()

    def release(self):
        if self.open:
            self.open.set()
            self.open = None

    async def passed(self):
        while self.open:
            await self.open.wait()


class GatedClock:
    """The clock of a process that may stand still: its sleeps end when it goes on."""

    def __init__(self, clock, gate):
        self.clock, self.gate, self.now, self.wall = clock, gate, clock.now, clock.wall

    async def sleep_until(self, when):
        await self.clock.sleep_until(when)
        await self.gate.passed()


class MemoryStream(ByteStream):
    """One end of a stream. `gate`: of the process that reads and writes here."""

    def __init__(self, gate=None):
        self.gate, self.peer = gate, None
        self.chunks, self.held = deque(), 0
        self.came, self.room = anyio.Event(), anyio.Event()
        self.closed = self.ended = self.broken = False
        if gate:
            gate.streams[self] = True

    async def send(self, data):
        while True:
            if self.gate:
                await self.gate.passed()
            if self.closed:
                raise anyio.ClosedResourceError
            if self.broken or self.peer.closed:
                raise anyio.BrokenResourceError
            if self.peer.held < MOST_HELD:
                break
            self.peer.room = anyio.Event()
            await self.peer.room.wait()
        self.peer.chunks.append(bytes(data))
        self.peer.held += len(data)
        self.peer.came.set()

    async def receive(self, max_bytes=1 << 20):
        while True:
            if self.gate:
                await self.gate.passed()
            if self.closed:
                raise anyio.ClosedResourceError
            if self.broken:
                raise anyio.BrokenResourceError
            if self.chunks:
                data = b"".join(self.chunks)
                self.chunks.clear()
                data, rest = data[:max_bytes], data[max_bytes:]
                if rest:
                    self.chunks.append(rest)
                self.held = len(rest)
                self.room.set()
                return data
            if self.ended:
                raise anyio.EndOfStream
            self.came = anyio.Event()
            await self.came.wait()

    async def send_eof(self):
        self.peer.ended = True
        self.peer.came.set()

    async def aclose(self):
        if not self.closed:
            self.closed = True
            self.peer.ended = True
            if self.gate:
                self.gate.streams.pop(self, None)
            for event in (self.peer.came, self.came, self.room):
                event.set()

    def reset(self):
        """Both ends break at once; what was under way is lost."""
        for end in (self, self.peer):
            end.broken = True
            end.chunks.clear()
            for event in (end.came, end.room):
                event.set()


class MemoryNet:
    """Streams in memory between addresses of the same form as on loopback."""

    def __init__(self):
        self.listeners, self.next_port = {}, 20000

    async def listen(self, address, gate=None):
        host, _, port = address.rpartition(":")
        if port == "0":
            self.next_port += 1
            address = f"{host}:{self.next_port}"
        if address in self.listeners:
            raise OSError(f"{address} is in use")
        self.listeners[address] = listener = MemoryListener(self, address, gate)
        return listener

    async def dial(self, address, gate=None):
        listener = self.listeners.get(address)
        if listener is None:
            raise ConnectionRefusedError(f"nobody listens on {address}")
        near, far = MemoryStream(gate), MemoryStream(listener.gate)
        near.peer, far.peer = far, near
        listener.waiting.append(far)
        listener.came.set()
        return near


class MemoryListener:
    def __init__(self, net, address, gate):
        self.net, self.address, self.gate = net, address, gate
        self.waiting, self.came = deque(), anyio.Event()

    async def serve(self, handler, group):
        while True:
            if self.gate:
                await self.gate.passed()
            while self.waiting:
                group.start_soon(handler, self.waiting.popleft())
            self.came = anyio.Event()
            await self.came.wait()

    async def aclose(self):
        self.close()

    def close(self):
        if self.net.listeners.get(self.address) is self:
            del self.net.listeners[self.address]
        while self.waiting:
            self.waiting.popleft().reset()


class GatedNet:
    """A net as one process has it: all its streams stand still with it, and break when it is killed."""

    def __init__(self, net, gate):
        self.net, self.gate = net, gate

    async def listen(self, address):
        return await self.net.listen(address, self.gate)

    async def dial(self, address):
        return await self.net.dial(address, self.gate)

    def kill(self):
        """What the system does for a dead process: nobody listens, and its streams break in the order of
        their making (a cancelled task group ends its tasks in no certain order)."""
        for listener in [one for one in self.net.listeners.values() if one.gate is self.gate]:
            listener.close()
        for stream in list(self.gate.streams):
            stream.reset()
