"""One member of the cluster: connects membership, entry store and state exchange to the network."""

import random
import socket

import anyio
import structlog

from embertray.cluster.membership import Membership, MembershipConfig
from embertray.cluster.state import AntiEntropyExchange, EntryStore
from embertray.common.net.address import parse_loopback

from .counters import LinkCounters
from .gossip_socket import GossipSocket
from .state_exchange import StateExchange
from .status import memory_collections, status
from .token_bucket import TokenBucket

SECOND_NS = 10**9
LEAVE_TIMEOUT_NS = SECOND_NS // 2  # how long a shutdown waits until the last messages are sent


class ClusterLink:
    """This process as a member of the cluster.

    Attributes:
        membership: The Membership.
        store: The EntryStore.
        counters: LinkCounters.
    """

    def __init__(self, cluster, controller, peers, clock, seed, facts, log=None):
        """Start a new incarnation; nothing is sent before `run`.

        Args:
            cluster: The site's Cluster.
            controller: This controller's entry in the site.
            peers: Addresses of the other controllers, host:port.
            clock: The clock, with `now()` and `wall()` in ns, and `sleep_until()`.
            seed: Seed of the random number generator, together with the name and the wall clock.
            facts: Function that returns this member's own entries: key -> bytes.
            log: A structlog logger.
        """
        self.cluster = cluster
        self.controller = controller
        self.clock = clock
        self.log = (log or structlog.get_logger()).bind(member=controller.name)
        rng = random.Random(f"{seed} {controller.name} {clock.wall()}")
        now = clock.now()
        incarnation = clock.wall()

        self.counters = LinkCounters()
        self.bucket = TokenBucket(cluster.rate, now)
        config = MembershipConfig.for_period(cluster.period)
        self.membership = Membership(
            cluster.name, controller.name, controller.cluster, incarnation, now, rng, peers, config
        )
        self.store = EntryStore(controller.name, incarnation, cluster.state)
        self.exchange = AntiEntropyExchange(self.store, rng, now, cluster.period)
        self.gossip_socket = GossipSocket(self.membership, clock, self.counters, self.on_advance)
        self.state_exchange = StateExchange(
            self.exchange, self.membership, facts, clock, cluster.period, self.bucket, self.counters, self.log
        )
        self.stopped = anyio.Event()

    # ---- queries and controls of the service

    def status(self):
        """Return the status for the admin endpoint and the metrics."""
        return status(self)

    def memory_collections(self):
        """Return the cluster's Collections for the memory accounts."""
        return memory_collections(self)

    def set_growth_blocked(self, blocked):
        """Set whether the store sheds received entries that would make it grow.

        Args:
            blocked: Whether the memory account of the cluster is at its cap.

        Returns:
            The number of entries that were shed or evicted so far, because of this or of the store's own cap.
        """
        self.store.growth_blocked = blocked
        return sum(self.store.shed.values())

    # ---- tasks

    async def run(self):
        """Run until cancelled, or until the membership has ended.

        Returns:
            Why the membership has ended: this member left, or a newer process uses its name.

        Raises:
            OSError: The address cannot be bound.
        """
        host, port = parse_loopback(self.controller.cluster)
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        async with (
            listener,
            await anyio.create_udp_socket(family=socket.AF_INET, local_host=host, local_port=port) as udp,
            anyio.create_task_group() as group,
        ):
            group.start_soon(listener.serve, self.state_exchange.serve)
            group.start_soon(self.gossip_socket.listen, udp)
            group.start_soon(self.state_exchange.run)
            await self.gossip_socket.run(udp)
            group.cancel_scope.cancel()
        self.stopped.set()
        return self.membership.ended

    async def leave(self):
        """Announce to some members that this one leaves, and wait for at most LEAVE_TIMEOUT_NS."""
        self.gossip_socket.leave()
        with anyio.move_on_after(LEAVE_TIMEOUT_NS / SECOND_NS, shield=True):
            await self.stopped.wait()

    def on_advance(self, now):
        """Log membership changes, and update the store: expired entries and this member's incarnation.

        Args:
            now: The time, ns.
        """
        events = self.membership.events
        for event in events:
            self.log.info(
                "member changed state", name=event.name, state=event.state.label, address=event.address
            )
        events.clear()
        self.store.expire(now, self.membership.members.departed)
        if self.membership.local.incarnation != self.store.incarnation:
            self.store.adopt_incarnation(self.membership.local.incarnation)
