"""The outbound connection to another replica. It only sends; the other replica has one of its own."""

import anyio

from embertray.common.net.exceptions import AddressError

from .connection import CONNECTION_ERRORS, Connection, Overflow

NS_PER_S = 10**9
CONNECT_TIMEOUT_S = 1
INITIAL_RETRY_DELAY_S = 0.05  # pause between connection attempts, doubled each time
MAX_RETRY_DELAY_S = 1.0  # shorter than an election
MAX_QUEUED_MESSAGES = 16  # the newest are kept, as the replica sends again what still matters
PEER_SILENCE_TIMEOUT_NS = 5 * NS_PER_S  # silence of the peer after which the connection is renewed


class PeerLink:
    """Keeps a connection to the other replica open.

    Args:
        address: callable that returns the address of the other replica.
        last_received_at: callable that returns the time of its last message, ns.
        net: opens connections.
        clock: the process's clock.
        rng: a random.Random.
        traffic: the Traffic to count in.
    """

    def __init__(self, address, last_received_at, net, clock, rng, traffic):
        self.address = address
        self.last_received_at = last_received_at
        self.net = net
        self.clock = clock
        self.rng = rng
        self.traffic = traffic
        self.connection = None
        self.connected_at = 0

    def put(self, data):
        """Queues an encoded message, or drops it if there is no connection. Renews a stalled connection."""
        if self.connection is None:
            self.traffic.dropped += 1
            return
        # If the peer hangs or the link works in one direction only, the stream fills with outdated messages
        # without ever breaking. A new connection starts with the newest messages.
        now = self.clock.now()
        if now - max(self.last_received_at(), self.connected_at) > PEER_SILENCE_TIMEOUT_NS:
            self.connection.close()
        self.connection.put(data)

    async def run(self):
        """Connects, and reconnects with backoff, until cancelled."""
        pause = INITIAL_RETRY_DELAY_S
        while True:
            try:
                with anyio.fail_after(CONNECT_TIMEOUT_S):
                    stream = await self.net.dial(self.address())
            except (*CONNECTION_ERRORS, AddressError):
                await self._pause(pause)
                pause = min(2 * pause, MAX_RETRY_DELAY_S)
                continue
            pause = INITIAL_RETRY_DELAY_S
            async with stream:
                await self._send_until_closed(stream)
            await self._pause(pause)

    async def _pause(self, seconds):
        await anyio.sleep(seconds * (0.5 + self.rng.random()))

    async def _send_until_closed(self, stream):
        """Sends queued messages until the connection ends."""
        self.connection = Connection(stream, self.traffic, MAX_QUEUED_MESSAGES, Overflow.DROP_OLDEST)
        self.connected_at = self.clock.now()
        try:
            with self.connection.scope:
                async with anyio.create_task_group() as group:
                    group.start_soon(self._wait_for_close, stream)
                    await self.connection.write()
        except* CONNECTION_ERRORS:
            pass
        finally:
            self.connection = None

    @staticmethod
    async def _wait_for_close(stream):
        """Waits for the end of the connection, on which the other replica sends nothing."""
        await stream.receive()
        raise anyio.BrokenResourceError
