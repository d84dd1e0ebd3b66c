"""One member's sockets round Membership, EntryStore and Exchange; nothing is decided here. No peer's message
ends more than itself.
"""

import random
import socket
from contextlib import suppress

import anyio
import msgspec
import structlog

from embertray.cluster.membership import Membership, MembershipConfig
from embertray.cluster.membership.messages import UnreadableMessageError, decode, encode
from embertray.cluster.state import (
    AntiEntropyExchange,
    Delta,
    EntryStore,
    Offer,
    StoreFullError,
    staleness_bound_ns,
)
from embertray.common.framing import BadFrame, Splitter, frame
from embertray.common.memory import Collection
from embertray.common.net.address import BadAddress, loopback

from .allowance import Allowance

S = 10**9
BROKEN = (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)
EXCHANGE_WITHIN = 2 * S  # ns; one that takes longer is given up: its member's turn comes again
FACTS_EVERY = 1 * S  # ns between two tellings of our own facts
LEAVE_WITHIN = S // 2  # ns that an end waits for the last words
WAIT_MOST = S // 2  # ns that the timer sleeps at most: a clock that jumps is seen soon
COUNTED = (  # bytes_sent and bytes_received: of datagrams and of state; state's with its frames' lengths
    "sent",
    "received",
    "bytes_sent",
    "bytes_received",
    "state_bytes_sent",
    "state_bytes_received",
    "unreadable",
    "exchanges",
    "exchanges_failed",
)

pack = msgspec.msgpack.Encoder().encode
unpack = msgspec.msgpack.Decoder(Offer | Delta).decode


class ClusterLink:
    """`me`: the controller's entry in the site; `cluster`: the site's Cluster; `facts()`: key -> bytes, what
    we tell of ourselves.
    """

    def __init__(self, cluster, me, peers, clock, seed, facts, log=None):
        self.cluster, self.me, self.clock, self.facts = cluster, me, clock, facts
        self.log = (log or structlog.get_logger()).bind(member=me.name)
        chance, now, wall = random.Random(f"{seed} {me.name} {clock.wall()}"), clock.now(), clock.wall()
        pace = MembershipConfig(
            probe_period=cluster.period,
            probe_timeout=cluster.period * 3 // 10,
            reconnect_period=5 * cluster.period,
        )
        self.membership = Membership(cluster.name, me.name, me.cluster, wall, now, chance, peers, pace)
        self.store = EntryStore(me.name, wall, cluster.state)
        self.exchange = AntiEntropyExchange(self.store, chance, now, cluster.period)
        self.allowance, self.poked, self.udp, self.out = Allowance(cluster.rate, now), anyio.Event(), None, []
        self.gone, self.failing = anyio.Event(), set()  # members whose last exchange failed
        self.counted = dict.fromkeys(COUNTED, 0)

    # ---- what operators see

    def status(self):
        now, members, here = (
            self.clock.now(),
            self.membership,
            {m.name for m in self.membership.active_members},
        )
        rows = [
            {
                "name": m.name,
                "address": m.address,
                "state": m.state.word,
                "heard_s": round((now - m.last_heard_at) / S, 2),
                "told_s": min(
                    (round(k.age_ns / S, 2) for k in self.store.freshest(now, "facts") if k.owner == m.name),
                    default=None,
                ),
            }
            for m in sorted(members.members.values(), key=lambda m: m.name)
        ]
        return {
            "cluster": self.cluster.name,
            "me": members.me.name,
            "life": members.me.incarnation,
            "joined": members.joined,
            "cut_off": members.cut_off(now),
            "health": members.health.steps,
            "ended": members.ended,
            "members": rows,
            "bound_s": round(
                staleness_bound_ns(
                    len(here) + 1, self.cluster.period, EXCHANGE_WITHIN, len(self.failing & here)
                )
                / S,
                2,
            ),
            "state_bytes": self.store.size_bytes,
            "state_cap": self.store.cap_bytes,
            "left_out": sum(self.store.shed.values()),
            "refused": [
                {"why": why, "address": at, "times": n} for (why, at), n in members.rejected.most_common(16)
            ],
            "state_held_back": self.allowance.held_back,
            **self.counted,
        }

    def collections(self):
        """What it holds, for the accounts; what each stands on is weighed without its owner."""
        members, store = self.membership, self.store
        return [
            Collection(
                "entries",
                len(store.entries),
                store.entries.items,
                [store.entries, store.order_by_owner, store.complete_up_to, store.incarnations],
            ),
            Collection("members", len(members.members), members.members.items, [members.members]),
            Collection("refused", len(members.rejected), members.rejected.items, [members.rejected]),
            Collection("probes", len(members.probes), members.probes.items, [members.probes]),
        ]

    def close(self, closed):
        """At its memory cap, and below it again. How many entries were left out so far."""
        self.store.closed = closed
        return sum(self.store.shed.values())

    # ---- tasks

    async def run(self):
        """Until cancelled, or until another process has our name: then it returns why. Raises OSError if the
        address is taken.
        """
        host, port = loopback(self.me.cluster)
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        async with (
            listener,
            await anyio.create_udp_socket(
                family=socket.AF_INET, local_host=host, local_port=port
            ) as self.udp,
            anyio.create_task_group() as group,
        ):
            group.start_soon(listener.serve, self.serve)
            group.start_soon(self.listen)
            group.start_soon(self.trade)
            await self.pump()
            group.cancel_scope.cancel()
        self.gone.set()
        return self.membership.ended

    async def leave(self):
        """Tells some members that we go; at once, or not at all."""
        self.out += self.membership.leave(self.clock.now())
        self.poked.set()
        with anyio.move_on_after(LEAVE_WITHIN / S, shield=True):
            await self.gone.wait()

    async def pump(self):
        while not self.membership.ended:
            self.poked = anyio.Event()
            now = self.clock.now()
            self.out += self.membership.advance(now)
            await self.send()
            self.changed(now)
            wait = min(WAIT_MOST, max(0, self.membership.next_at() - self.clock.now()))
            with anyio.move_on_after(wait / S):
                await self.poked.wait()
        await self.send()  # the last words

    def changed(self, now):
        changes = self.membership.events
        for change in changes:
            self.log.info("member", name=change.name, state=change.state.word, address=change.address)
        changes.clear()
        self.store.expire(now, self.membership.members.departed)
        if self.membership.me.incarnation != self.store.incarnation:
            self.store.adopt_incarnation(self.membership.me.incarnation)

    async def send(self):
        """What is due, by the pump alone: the socket has one writer."""
        out, self.out = self.out, []
        for address, message in out:
            data = encode(message)
            self.counted["sent"] += 1
            self.counted["bytes_sent"] += len(data)
            # a datagram that can't be sent is as good as lost on the way
            with suppress(OSError, BadAddress, anyio.ClosedResourceError):
                await self.udp.sendto(data, *loopback(address))

    async def listen(self):
        async for data, (host, port) in self.udp:
            self.counted["received"] += 1
            self.counted["bytes_received"] += len(data)
            try:
                message = decode(data)
            except UnreadableMessageError:
                self.counted["unreadable"] += 1
                continue
            self.out += self.membership.receive(self.clock.now(), f"{host}:{port}", message)
            self.poked.set()

    # ---- state

    async def trade(self):
        """Our facts are told anew, and each period one member is exchanged with."""
        facts_at = 0
        while True:
            now = self.clock.now()
            if now >= facts_at:
                facts_at = now + FACTS_EVERY
                for key, value in self.facts().items():
                    try:
                        self.store.put(now, key, value)
                    except StoreFullError as wrong:
                        self.log.warning("not told to the others", why=str(wrong))
            here = (
                {m.name: m.address for m in self.membership.active_members}
                if now >= self.exchange.next_at
                else {}
            )
            if (name := self.exchange.next_peer(now, here)) is not None and self.allowance.may(now):
                self.counted["exchanges"] += 1
                failed = False
                with anyio.move_on_after(EXCHANGE_WITHIN / S) as scope:
                    try:
                        await self.with_one(here[name])
                    except (*BROKEN, BadFrame, BadAddress, msgspec.DecodeError):
                        failed = True
                failed = failed or scope.cancelled_caught
                self.counted["exchanges_failed"] += failed
                (self.failing.add if failed else self.failing.discard)(name)
            await self.clock.sleep_until(
                max(self.clock.now() + self.cluster.period // 20, min(self.exchange.next_at, facts_at))
            )

    async def with_one(self, address):
        host, port = loopback(address)
        async with await anyio.connect_tcp(host, port) as stream:
            await self.say(stream, self.exchange.offer())
            answer, _ = self.exchange.on_delta(self.clock.now(), await self.next(stream, Splitter(), Delta))
            if answer is not None:
                await self.say(stream, answer)

    async def serve(self, stream):
        """The other end of `with_one`."""
        try:
            async with stream:
                with anyio.move_on_after(EXCHANGE_WITHIN / S):
                    splitter = Splitter()
                    offer = await self.next(stream, splitter, Offer)
                    await self.say(stream, self.exchange.on_offer(self.clock.now(), offer))
                    self.exchange.on_delta(self.clock.now(), await self.next(stream, splitter, Delta))
        except (*BROKEN, BadFrame, msgspec.DecodeError) as wrong:
            self.log.debug("exchange broke", why=str(wrong) or type(wrong).__name__)

    async def say(self, stream, message):
        data = frame(pack(message))
        self.allowance.spend(len(data))
        self.counted["bytes_sent"] += len(data)
        self.counted["state_bytes_sent"] += len(data)
        await stream.send(data)

    async def next(self, stream, splitter, kind):
        """The next message, which has to be of this kind. Raises BadFrame, msgspec.DecodeError."""
        found = []
        while not found:
            data = await stream.receive()
            self.counted["bytes_received"] += len(data)
            self.counted["state_bytes_received"] += len(data)
            found = splitter.feed(data)
        message = unpack(found[0])
        if not isinstance(message, kind):
            raise BadFrame("order", f"{type(message).__name__} where {kind.__name__} is due")
        return message
