"""The links of true processes: for each ordered pair an address of its own, UDP and TCP, that relays.

A member knows the others by the addresses that it hears, and passes them on; so statements are rewritten on
the way: to each member, every other one lives behind that member's own link to it.
"""

import socket
from contextlib import suppress

import anyio
import msgspec

from embertray.cluster.membership.messages import PingRequest, UnreadableMessageError, decode, encode
from embertray.simulation.models.network import Network

from .ports import free_ports
from .tcp_relay import TcpRelay


class ClusterLinks(Network):
    """`port(a, b)` is where a reaches b, `way(a, b)` what lies between.

    Args:
        at: name -> the true cluster port of each member.
        seed: of what the links lose, delay and repeat.
        ends: names that only members reach, and that reach members only.
        to: (from, to) -> a function that gives the address, for the ends that are no members.
        taps: (from, to) -> TcpRelay's tap.
    """

    def __init__(self, member_ports, seed=1, ends=(), targets=None, taps=None):
        super().__init__(list(member_ports), seed, ends)
        self.member_ports = member_ports
        self.targets = dict(targets or {})
        self.taps = dict(taps or {})
        self.unreadable_count = 0
        self.sender_socket = None
        dialed_pairs = [*self.pairs(), *self.targets]
        self.ports = dict(zip(dialed_pairs, free_ports(len(dialed_pairs)), strict=True))

    def port(self, a, b):
        """Where `a` is to dial to reach `b`."""
        return self.ports[a, b]

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Relays on all links until cancelled."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as self.sender_socket:
            self.sender_socket.setblocking(False)
            async with anyio.create_task_group() as group:
                for pair in self.pairs():
                    await group.start(self.relay_datagrams, pair, group)
                for (a, b), port in self.ports.items():
                    target = self.targets.get((a, b)) or (lambda b=b: f"127.0.0.1:{self.member_ports[b]}")
                    await group.start(
                        TcpRelay(
                            port,
                            target,
                            self.links[a, b],
                            self.links[b, a],
                            self.streams[a, b],
                            self.taps.get((a, b)),
                        ).run
                    )
                task_status.started()

    async def relay_datagrams(self, pair, group, *, task_status):
        """Relays the datagrams of one ordered pair, rewritten, as its link says."""
        link = self.links[pair]
        receiver = pair[1]
        async with await anyio.create_udp_socket(
            family=socket.AF_INET, local_host="127.0.0.1", local_port=self.ports[pair]
        ) as udp:
            task_status.started()
            async for data, _ in udp:
                try:
                    data = self.rewrite_addresses(receiver, decode(data))
                except UnreadableMessageError:
                    self.unreadable_count += 1
                    continue
                for wait in link.copy_delays():
                    if wait:
                        group.start_soon(self.deliver_later, data, receiver, wait)
                    else:
                        self.deliver(data, receiver)

    async def deliver_later(self, data, receiver, wait):
        """Delivers a datagram after `wait` ns."""
        await anyio.sleep(wait / 1e9)
        self.deliver(data, receiver)

    def deliver(self, data, receiver):
        """Sends a datagram to a member's true port."""
        with suppress(OSError):  # lost, as it would be on a full way
            self.sender_socket.sendto(data, ("127.0.0.1", self.member_ports[receiver]))

    def rewrite_addresses(self, receiver, message):
        """As `receiver` is to see it: every other member behind its own link to it."""

        def with_link_address(statement):
            if statement.name == receiver:
                return msgspec.structs.replace(statement, address=f"127.0.0.1:{self.member_ports[receiver]}")
            port = self.ports.get((receiver, statement.name))
            return (
                statement if port is None else msgspec.structs.replace(statement, address=f"127.0.0.1:{port}")
            )

        changed = {
            "sender": with_link_address(message.sender),
            "gossip": [with_link_address(statement) for statement in message.gossip],
        }
        if isinstance(message, PingRequest):
            changed["target"] = with_link_address(message.target)
        return encode(msgspec.structs.replace(message, **changed))
