"""A process in virtual time as it is stopped and killed: its clock and its streams pass through one gate."""

import anyio


class ProcessGate:
    """Closed while a process stands still.

    Attributes:
        streams: the process's open streams, in the order in which they were made.
    """

    def __init__(self):
        self.released = None
        self.streams = {}

    def pause(self):
        """Let nothing pass until `go_on`."""
        self.released = self.released or anyio.Event()

    def resume(self):
        """Let all pass that waits."""
        if self.released:
            self.released.set()
            self.released = None

    async def wait_open(self):
        """Wait while the process stands still."""
        while self.released:
            await self.released.wait()


class GatedClock:
    """The clock of a process that may stand still: its sleeps end when it goes on.

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
        """Sleep until a time, and for as long after it as the process stands still.

        Args:
            when: ns of the clock.
        """
        await self.clock.sleep_until(when)
        await self.gate.wait_open()


class GatedNet:
    """A net as one process has it: its streams stand still with it, and break when it is killed.

    Args:
        net: a MemoryNet.
        gate: the process's ProcessGate.
    """

    def __init__(self, net, gate):
        self.net = net
        self.gate = gate

    async def listen(self, address):
        """Listen on an address; as MemoryNet.listen."""
        return await self.net.listen(address, self.gate)

    async def dial(self, address):
        """Open a stream to an address; as MemoryNet.dial."""
        return await self.net.dial(address, self.gate)

    def kill(self):
        """Do what the system does for a dead process: nobody listens, and its streams break.

        They break in the order in which they were made: a cancelled task group ends its tasks in no certain
        order, which would make two runs of the same seed differ.
        """
        for listener in [one for one in self.net.listeners.values() if one.gate is self.gate]:
            listener.close()
        for stream in list(self.gate.streams):
            stream.reset()
