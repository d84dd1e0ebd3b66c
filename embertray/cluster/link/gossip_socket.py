"""Runs a Membership on a UDP socket. The protocol tolerates lost datagrams."""

from contextlib import suppress

import anyio

from embertray.cluster.membership import UnreadableMessageError
from embertray.cluster.membership.messages import decode, encode
from embertray.common.net.address import parse_loopback
from embertray.common.net.exceptions import AddressError

SECOND_NS = 10**9
MAX_SLEEP_NS = SECOND_NS // 2  # bounds the time until a clock jump is noticed


class GossipSocket:
    """Advances a Membership when its timers are due, and sends and receives its messages.

    Only `run` sends, so that the socket has a single writer.
    """

    def __init__(self, membership, clock, counters, on_advance):
        """Create the object; the socket is passed to `run` and `listen`.

        Args:
            membership: The Membership.
            clock: The clock, with `now()` in ns.
            counters: LinkCounters.
            on_advance: Called with the time (ns) after each step; processes the membership's events.
        """
        self.membership = membership
        self.clock = clock
        self.counters = counters
        self.on_advance = on_advance
        self.outgoing = []
        self.wake = anyio.Event()

    async def run(self, udp):
        """Advance the membership and send its messages until it has ended and its last messages are sent.

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
        """Send the queued messages.

        Args:
            udp: The socket.
        """
        outgoing = self.outgoing
        self.outgoing = []
        for address, message in outgoing:
            data = encode(message)
            self.counters.on_datagram_sent(len(data))
            # A datagram that cannot be sent is treated as lost.
            with suppress(OSError, AddressError, anyio.ClosedResourceError):
                await udp.sendto(data, *parse_loopback(address))

    async def listen(self, udp):
        """Pass received messages to the membership, until cancelled.

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
        """Make the membership leave; `run` sends its last messages and returns."""
        self.outgoing += self.membership.leave(self.clock.now())
        self.wake.set()
