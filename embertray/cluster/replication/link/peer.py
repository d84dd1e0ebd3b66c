"""The standing connection to one other replica: what is sent to it; it answers on a connection of its own."""

import anyio

from embertray.common.net.exceptions import AddressError

from .connection import BROKEN, Connection, Overflow

S = 10**9
DIAL_WITHIN = 1  # s
RETRY_FIRST, RETRY_MOST = 0.05, 1.0  # s between two dials, doubled each time: an election takes seconds
QUEUED_MOST = 16  # messages; the newest are kept, the core says again what matters
QUIET = 5 * S  # ns without a word of the other replica after which a connection is made anew: it may be
#               stuck with what is long outdated


class PeerLink:
    """`address()` gives where the other replica listens; `heard_at()` ns when it was last heard."""

    def __init__(self, address, heard_at, net, clock, chance, traffic):
        self.address, self.heard_at, self.net, self.clock = address, heard_at, net, clock
        self.chance, self.traffic = chance, traffic
        self.connection, self.connected_at, self.dials = None, 0, 0

    def put(self, data):
        """Sends an encoded message, or drops it if there is no connection."""
        if self.connection is None:
            self.traffic.dropped += 1
            return
        now = self.clock.now()
        if now - max(self.heard_at(), self.connected_at) > QUIET:
            self.connection.close()
        self.connection.put(data)

    async def run(self):
        """Connects, and connects again, until cancelled."""
        pause = RETRY_FIRST
        while True:
            self.dials += 1
            try:
                with anyio.fail_after(DIAL_WITHIN):
                    stream = await self.net.dial(self.address())
            except (*BROKEN, AddressError):
                await anyio.sleep(pause * (0.5 + self.chance.random()))
                pause = min(2 * pause, RETRY_MOST)
                continue
            pause = RETRY_FIRST
            async with stream:
                await self._hold(stream)
            await anyio.sleep(pause * (0.5 + self.chance.random()))

    async def _hold(self, stream):
        """Until the connection ends."""
        self.connection = Connection(stream, self.traffic, QUEUED_MOST, Overflow.DROP_OLDEST)
        self.connected_at = self.clock.now()
        try:
            with self.connection.scope:
                async with anyio.create_task_group() as group:
                    group.start_soon(self._until_end, stream)
                    await self.connection.write()
        except* BROKEN:
            pass
        finally:
            self.connection = None

    @staticmethod
    async def _until_end(stream):
        """The other replica says nothing on this connection: what comes is its end."""
        await stream.receive()
        raise anyio.BrokenResourceError
