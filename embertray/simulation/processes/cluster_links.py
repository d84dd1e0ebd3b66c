"""UDP and TCP relays between the members of a cluster: each ordered pair has an address of its own.

Members learn each other's addresses from gossip and pass them on. The relays therefore rewrite the addresses
in each message, so that a member reaches every other one only through its own link to it.
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
    """The faulty links between the members of a cluster, and between members and other endpoints.

    Args:
        member_ports: name -> cluster port on which the member's process listens.
        seed: seed of the random losses, delays and duplicates.
        ends: names of endpoints that are not members; they have links to and from members only.
        targets: (from, to) -> a function that returns the target's address, for pairs with such an endpoint.
        taps: (from, to) -> the `make_tap` of the pair's TcpRelay.
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
        """Returns the port that `a` dials to reach `b`."""
        return self.ports[a, b]

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Relays on all links until cancelled; has started once all relays listen."""
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
        """Relays the datagrams of one ordered pair, with rewritten addresses and the faults of its link."""
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
        """Sends a datagram to the port on which a member listens."""
        with suppress(OSError):  # the datagram is lost, as on a congested link
            self.sender_socket.sendto(data, ("127.0.0.1", self.member_ports[receiver]))

    def rewrite_addresses(self, receiver, message):
        """Encodes a message for `receiver`, with the address of its own link in place of each member's."""

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
