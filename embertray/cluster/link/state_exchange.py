"""State exchange over TCP: exchanges entries with one member per period, and serves the exchanges of others.

Each exchange opens a new connection; a few hundred bytes a second do not justify a permanent one. Invalid
data from a peer only ends that exchange.
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
EXCHANGE_TIMEOUT_NS = 2 * SECOND_NS  # the next round retries the member
FACTS_PERIOD_NS = 1 * SECOND_NS  # time between two writes of this member's own entries
MAX_CHECKS_PER_PERIOD = 20  # bounds how often the loop checks for due work

STREAM_ERRORS = (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)
EXCHANGE_ERRORS = (*STREAM_ERRORS, FrameError, AddressError, LinkError, msgspec.DecodeError)


class StateExchange:
    """The exchanges of one member, and the writes of its own entries.

    Attributes:
        failing: Names of the members with which the last exchange failed.
    """

    def __init__(self, exchange, membership, facts, clock, period, bucket, counters, log):
        """Create the object; `run` starts the exchanges.

        Args:
            exchange: The AntiEntropyExchange, which holds the EntryStore.
            membership: The Membership.
            facts: Function that returns this member's own entries: key -> bytes.
            clock: The clock, with `now()` and `sleep_until()` in ns.
            period: Time between two exchanges, ns.
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
        """Return the time within which an entry reaches every member that its owner can reach, ns.

        See `staleness_bound_ns` in embertray.cluster.state.staleness. Each member rewrites its entries every
        FACTS_PERIOD_NS, so a value that is read can be older than the bound by that period.
        """
        active = set(self.membership.active_names())
        failing = len(self.failing & active)
        return staleness_bound_ns(len(active) + 1, self.period, EXCHANGE_TIMEOUT_NS, failing)

    async def run(self):
        """Write this member's entries and start exchanges, each when it is due, until cancelled."""
        while True:
            now = self.clock.now()
            if now >= self.next_facts_at:
                self.next_facts_at = now + FACTS_PERIOD_NS
                self.write_facts(now)
            await self.exchange_if_due(now)
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
                self.log.warning("cannot share own entry: the store is full", key=key, reason=str(error))

    async def exchange_if_due(self, now):
        """Exchange entries with the next member, if an exchange is due and the token bucket allows it.

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
        """Exchange entries with a member, within the timeout.

        Args:
            address: Its address, host:port.

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
        """Run one exchange as its initiator.

        Args:
            address: The other member's address, host:port.

        Raises:
            AddressError: The address is not a loopback address.
            LinkError, FrameError, msgspec.DecodeError: The received data is not the expected message.
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
        """Serve an exchange that another member has started.

        Args:
            stream: The connected stream; it is closed afterwards.
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
    """Return why an exchange failed, for the log; stream errors without a text are named by their class.

    Args:
        error: The exception.
    """
    return str(error) or type(error).__name__
