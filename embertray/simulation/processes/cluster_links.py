"""The links of true processes: for each ordered pair an address of its own, UDP and TCP, that relays.

A member knows the others by the addresses that it hears, and passes them on; so statements are rewritten on
the way: to each member, every other one lives behind that member's own link to it.
"""

import socket
from contextlib import suppress

import anyio
import msgspec

from embertray.cluster.membership.messages import PingRequest, UnreadableMessageError, decode, encode
from embertray.simulation.models.network import Web

from .ports import free_ports
from .tcp_relay import TcpRelay


class ClusterLinks(Web):
    """`port(a, b)` is where a reaches b, `way(a, b)` what lies between.

    Args:
        at: name -> the true cluster port of each member.
        seed: of what the links lose, delay and repeat.
        ends: names that only members reach, and that reach members only.
        to: (from, to) -> a function that gives the address, for the ends that are no members.
        taps: (from, to) -> TcpRelay's tap.
    """

    def __init__(self, at, seed=1, ends=(), to=None, taps=None):
        super().__init__(list(at), seed, ends)
        self.at = at
        self.to = dict(to or {})
        self.taps = dict(taps or {})
        self.unreadable = 0
        self.out = None
        dialled = [*self.pairs(), *self.to]
        self.ports = dict(zip(dialled, free_ports(len(dialled)), strict=True))

    def port(self, a, b):
        """Where `a` is to dial to reach `b`."""
        return self.ports[a, b]

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Relays on all links until cancelled."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as self.out:
            self.out.setblocking(False)
            async with anyio.create_task_group() as group:
                for pair in self.pairs():
                    await group.start(self.datagrams, pair, group)
                for (a, b), port in self.ports.items():
                    target = self.to.get((a, b)) or (lambda b=b: f"127.0.0.1:{self.at[b]}")
                    await group.start(
                        TcpRelay(
                            port,
                            target,
                            self.ways[a, b],
                            self.ways[b, a],
                            self.streams[a, b],
                            self.taps.get((a, b)),
                        ).run
                    )
                task_status.started()

    async def datagrams(self, pair, group, *, task_status):
        """Relays the datagrams of one ordered pair, rewritten, as its link says."""
        way = self.ways[pair]
        receiver = pair[1]
        async with await anyio.create_udp_socket(
            family=socket.AF_INET, local_host="127.0.0.1", local_port=self.ports[pair]
        ) as udp:
            task_status.started()
            async for data, _ in udp:
                try:
                    data = self.rewritten(receiver, decode(data))
                except UnreadableMessageError:
                    self.unreadable += 1
                    continue
                for wait in way.copies():
                    if wait:
                        group.start_soon(self.later, data, receiver, wait)
                    else:
                        self.deliver(data, receiver)

    async def later(self, data, receiver, wait):
        """Delivers a datagram after `wait` ns."""
        await anyio.sleep(wait / 1e9)
        self.deliver(data, receiver)

    def deliver(self, data, receiver):
        """Sends a datagram to a member's true port."""
        with suppress(OSError):  # lost, as it would be on a full way
            self.out.sendto(data, ("127.0.0.1", self.at[receiver]))

    def rewritten(self, receiver, message):
        """As `receiver` is to see it: every other member behind its own link to it."""

        def seen(said):
            if said.name == receiver:
                return msgspec.structs.replace(said, address=f"127.0.0.1:{self.at[receiver]}")
            port = self.ports.get((receiver, said.name))
            return said if port is None else msgspec.structs.replace(said, address=f"127.0.0.1:{port}")

        changed = {"sender": seen(message.sender), "gossip": [seen(said) for said in message.gossip]}
        if isinstance(message, PingRequest):
            changed["target"] = seen(message.target)
        return encode(msgspec.structs.replace(message, **changed))
