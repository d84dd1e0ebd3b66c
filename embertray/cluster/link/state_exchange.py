"""TCP: exchanges entries with one member each period, and answers the exchanges of others.

Each exchange has a connection of its own: a few hundred bytes a second need no standing one. Whatever a peer
sends ends that exchange at worst.
"""

import anyio
import msgspec

from embertray.cluster.state import Delta, Offer, StoreFullError, staleness_bound_ns
from embertray.common.framing import FrameError
from embertray.common.net.address import parse_loopback
from embertray.common.net.exceptions import AddressError

from .exceptions import LinkError
from .state_stream import StateStream

SECOND_NS = 10**9
EXCHANGE_TIMEOUT_NS = 2 * SECOND_NS  # then it is given up: the member's turn comes again
FACTS_PERIOD_NS = 1 * SECOND_NS  # between two writes of this member's own entries
MAX_CHECKS_PER_PERIOD = 20  # how often, at most, the loop looks whether something is due

STREAM_ERRORS = (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)
EXCHANGE_ERRORS = (*STREAM_ERRORS, FrameError, AddressError, LinkError, msgspec.DecodeError)


class StateExchange:
    """The exchanges of one member, and the writes of its own entries.

    Attributes:
        failing: Names of the members with which the last exchange failed.
    """

    def __init__(self, exchange, membership, facts, clock, period, bucket, counters, log):
        """Begin.

        Args:
            exchange: The AntiEntropyExchange; it has the EntryStore.
            membership: The Membership.
            facts: Called for this member's own entries: key -> bytes.
            clock: The clock, with `now()` and `sleep_until()` in ns.
            period: Between two exchanges, ns.
            bucket: The TokenBucket.
            counters: LinkCounters.
            log: A structlog logger.
        """
        self.exchange = exchange
        self.store = exchange.store
        self.membership = membership
        self.facts = facts
        self.clock = clock
        self.period = period
        self.bucket = bucket
        self.counters = counters
        self.log = log
        self.failing = set()
        self.next_facts_at = 0

    def staleness_bound_ns(self):
        """Return the time within which an entry is known at every member that its owner reaches, ns.

        How it comes about is stated at `staleness_bound_ns` in embertray.cluster.state.staleness. An own
        entry is written anew each FACTS_PERIOD_NS, so what is read is at most that much older.
        """
        active = set(self.membership.active_names())
        failing = len(self.failing & active)
        return staleness_bound_ns(len(active) + 1, self.period, EXCHANGE_TIMEOUT_NS, failing)

    async def run(self):
        """Write this member's entries and begin exchanges, each when it is due, until cancelled."""
        while True:
            now = self.clock.now()
            if now >= self.next_facts_at:
                self.next_facts_at = now + FACTS_PERIOD_NS
                self.write_facts(now)
            await self.begin_exchange(now)
            next_at = min(self.exchange.next_at, self.next_facts_at)
            await self.clock.sleep_until(
                max(self.clock.now() + self.period // MAX_CHECKS_PER_PERIOD, next_at)
            )

    def write_facts(self, now):
        """Write this member's own entries.

        Args:
            now: The time, ns.
        """
        for key, value in self.facts().items():
            try:
                self.store.put(now, key, value)
            except StoreFullError as error:
                self.log.warning("own entry not shared: the store is full", key=key, reason=str(error))

    async def begin_exchange(self, now):
        """Exchange with the member whose turn it is, if an exchange is due and there are tokens for it.

        Args:
            now: The time, ns.
        """
        if now < self.exchange.next_at:
            return
        addresses = {member.name: member.address for member in self.membership.active_members}
        name = self.exchange.next_peer(now, addresses)
        if name is None or not self.bucket.allows(now):
            return
        self.counters.exchanges += 1
        if await self.try_exchange(addresses[name]):
            self.failing.discard(name)
        else:
            self.counters.exchanges_failed += 1
            self.failing.add(name)

    async def try_exchange(self, address):
        """Exchange with a member, for as long as the timeout allows.

        Args:
            address: Its address, as host:port.

        Returns:
            Whether the exchange succeeded.
        """
        with anyio.move_on_after(EXCHANGE_TIMEOUT_NS / SECOND_NS) as scope:
            try:
                await self.exchange_with(address)
            except EXCHANGE_ERRORS:
                return False
        return not scope.cancelled_caught

    async def exchange_with(self, address):
        """Begin an exchange, and end it.

        Args:
            address: The other member's address, as host:port.

        Raises:
            AddressError: It is no address on loopback.
            LinkError, FrameError, msgspec.DecodeError: What came is not what is due.
            OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError: The stream
                broke, or ended.
        """
        host, port = parse_loopback(address)
        async with await anyio.connect_tcp(host, port) as stream:
            peer = StateStream(stream, self.counters, self.bucket)
            await peer.send(self.exchange.offer())
            delta = await peer.receive(Delta)
            answer, _ = self.exchange.on_delta(self.clock.now(), delta)
            if answer is not None:
                await peer.send(answer)

    async def serve(self, stream):
        """Answer an exchange that another member has begun.

        Args:
            stream: The connected stream; it is closed.
        """
        try:
            async with stream:
                with anyio.move_on_after(EXCHANGE_TIMEOUT_NS / SECOND_NS):
                    peer = StateStream(stream, self.counters, self.bucket)
                    offer = await peer.receive(Offer)
                    await peer.send(self.exchange.on_offer(self.clock.now(), offer))
                    delta = await peer.receive(Delta)
                    self.exchange.on_delta(self.clock.now(), delta)
        except EXCHANGE_ERRORS as error:
            self.log.debug("state exchange of a peer failed", reason=reason(error))


def reason(error):
    """Return why an exchange failed, for the log: many errors of streams have no text.

    Args:
        error: The exception.
    """
    return str(error) or type(error).__name__
