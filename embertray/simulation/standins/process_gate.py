"""Pauses and kills processes in virtual time: their clock and streams pass through a gate."""

import anyio


class ProcessGate:
    """Blocks the clock and streams of one process while it is paused.

    Attributes:
        streams: the process's open streams, in the order of their creation.
    """

    def __init__(self):
        self.released = None
        self.streams = {}

    def pause(self):
        """Blocks the process until `resume`."""
        self.released = self.released or anyio.Event()

    def resume(self):
        """Releases all that waits."""
        if self.released:
            self.released.set()
            self.released = None

    async def wait_open(self):
        """Waits while the process is paused."""
        while self.released:
            await self.released.wait()


class GatedClock:
    """The clock of a process that may be paused; its sleeps end no earlier than it is resumed.

    Args:
        clock: the clock that all processes share.
        gate: the process's ProcessGate.
    """

    def __init__(self, clock, gate):
        self.clock = clock
        self.gate = gate
        self.now = clock.now
        self.wall = clock.wall

    async def sleep_until(self, when):
        """Sleeps until a time, and further until the process is not paused.

        Args:
            when: ns of the clock.
        """
        await self.clock.sleep_until(when)
        await self.gate.wait_open()


class GatedNet:
    """The net of one process: its streams are paused with it, and are reset when it is killed.

    Args:
        net: a MemoryNet.
        gate: the process's ProcessGate.
    """

    def __init__(self, net, gate):
        self.net = net
        self.gate = gate

    async def listen(self, address):
        """Listens on an address; as MemoryNet.listen."""
        return await self.net.listen(address, self.gate)

    async def dial(self, address):
        """Opens a stream to an address; as MemoryNet.dial."""
        return await self.net.dial(address, self.gate)

    def kill(self):
        """Closes the listeners and resets the streams of a killed process, as an operating system does.

        Streams are reset in the order of their creation: a cancelled task group ends its tasks in no fixed
        order, and two runs with the same seed would differ.
        """
        for listener in [one for one in self.net.listeners.values() if one.gate is self.gate]:
            listener.close()
        for stream in list(self.gate.streams):
            stream.reset()
