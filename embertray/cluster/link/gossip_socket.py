"""UDP: runs a Membership on a socket. A lost datagram is a lost message, and nothing more."""

from contextlib import suppress

import anyio

from embertray.cluster.membership import UnreadableMessageError
from embertray.cluster.membership.messages import decode, encode
from embertray.common.net.address import parse_loopback
from embertray.common.net.exceptions import AddressError

SECOND_NS = 10**9
MAX_SLEEP_NS = SECOND_NS // 2  # so that a clock that jumps is noticed soon


class GossipSocket:
    """Calls a Membership when it is due, and carries its messages.

    All is sent by `run`, so that the socket has one writer.
    """

    def __init__(self, membership, clock, counters, on_advance):
        """Begin without a socket.

        Args:
            membership: The Membership.
            clock: The clock, with `now()` in ns.
            counters: LinkCounters.
            on_advance: Called with the time (ns) after each step, to take the membership's events.
        """
        self.membership = membership
        self.clock = clock
        self.counters = counters
        self.on_advance = on_advance
        self.outgoing = []
        self.wake = anyio.Event()

    async def run(self, udp):
        """Run until the membership has ended, and send its last messages.

        Args:
            udp: The socket.
        """
        while not self.membership.ended:
            self.wake = anyio.Event()
            now = self.clock.now()
            self.outgoing += self.membership.advance(now)
            await self.send_outgoing(udp)
            self.on_advance(now)
            sleep = min(MAX_SLEEP_NS, max(0, self.membership.next_at() - self.clock.now()))
            with anyio.move_on_after(sleep / SECOND_NS):
                await self.wake.wait()
        await self.send_outgoing(udp)

    async def send_outgoing(self, udp):
        """Send what is due.

        Args:
            udp: The socket.
        """
        outgoing = self.outgoing
        self.outgoing = []
        for address, message in outgoing:
            data = encode(message)
            self.counters.on_datagram_sent(len(data))
            # A datagram that cannot be sent is as good as lost on the way.
            with suppress(OSError, AddressError, anyio.ClosedResourceError):
                await udp.sendto(data, *parse_loopback(address))

    async def listen(self, udp):
        """Hand what comes to the membership, until cancelled.

        Args:
            udp: The socket.
        """
        async for data, (host, port) in udp:
            self.counters.on_datagram_received(len(data))
            try:
                message = decode(data)
            except UnreadableMessageError:
                self.counters.unreadable += 1
                continue
            self.outgoing += self.membership.receive(self.clock.now(), f"{host}:{port}", message)
            self.wake.set()

    def leave(self):
        """Let the membership leave; `run` sends its last messages and returns."""
        self.outgoing += self.membership.leave(self.clock.now())
        self.wake.set()
