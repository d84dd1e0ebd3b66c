"""Links between the members of a cluster: for each ordered pair an address of its own, UDP and TCP, behind which the rig stands.

A member knows the others by the addresses that it is told, and tells them on; so statements are rewritten on the way: to each member,
every other one lives behind that member's own link to it. Streams are passed on as bytes; a link that is closed holds them silent.
"""
import random
import socket

import anyio
import msgspec

from ..cluster.membership.messages import Help, Unreadable, decode, encode
from .ports import free_ports
from .way import Way

BROKEN = (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.BusyResourceError)
LOOK = 0.02             # s between two looks at a closed link by a stream that waits on it


class Ways:
    """`at`: name -> the true port of each member. `port(a, b)` is where a reaches b; `way(a, b)` is what lies between."""

    def __init__(self, at, seed=1):
        self.at, pairs = at, [(a, b) for a in at for b in at if a != b]
        self.ports = dict(zip(pairs, free_ports(len(pairs))))
        self.ways = {(a, b): Way(random.Random(f"{seed} {a} {b}")) for a, b in pairs}
        self.unreadable, self.out = 0, None

    def port(self, a, b):
        return self.ports[a, b]

    def way(self, a, b):
        return self.ways[a, b]

    # ---- wounds

    def each(self, **how):
        for way in self.ways.values():
            for name, value in how.items():
                setattr(way, name, value)

    def split(self, *groups):
        """Only those of one group reach each other."""
        side = {name: n for n, group in enumerate(groups) for name in group}
        for (a, b), way in self.ways.items():
            way.open = side[a] == side[b]

    def heal(self):
        self.each(open=True, drop=0.0, again=0.0, delay=0, jitter=0)

    # ---- carrying

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as self.out:
            self.out.setblocking(False)
            await self.carry_all(task_status)

    async def carry_all(self, task_status):
        async with anyio.create_task_group() as group:
            for pair in self.ways:
                await group.start(self.datagrams, pair, group)
                await group.start(self.streams, pair)
            task_status.started()

    async def datagrams(self, pair, group, *, task_status):
        way, receiver = self.ways[pair], pair[1]
        async with await anyio.create_udp_socket(family=socket.AF_INET, local_host="127.0.0.1", local_port=self.ports[pair]) as udp:
            task_status.started()
            async for data, _ in udp:
                try:
                    data = self.rewritten(receiver, decode(data))
                except Unreadable:
                    self.unreadable += 1
                    continue
                for wait in way.copies():
                    if wait:
                        group.start_soon(self.later, data, receiver, wait)
                    else:
                        self.deliver(data, receiver)

    async def later(self, data, receiver, wait):
        await anyio.sleep(wait / 1e9)
        self.deliver(data, receiver)

    def deliver(self, data, receiver):
        try:
            self.out.sendto(data, ("127.0.0.1", self.at[receiver]))
        except OSError:
            pass                            # lost, as it would be on a full way

    def rewritten(self, receiver, message):
        """As `receiver` is to see it: every other member behind its own link to it."""
        def seen(said):
            if said.name == receiver:
                return msgspec.structs.replace(said, address=f"127.0.0.1:{self.at[receiver]}")
            port = self.ports.get((receiver, said.name))
            return said if port is None else msgspec.structs.replace(said, address=f"127.0.0.1:{port}")
        changed = {"sender": seen(message.sender), "news": [seen(said) for said in message.news]}
        if isinstance(message, Help):
            changed["about"] = seen(message.about)
        return encode(msgspec.structs.replace(message, **changed))

    async def streams(self, pair, *, task_status):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=self.ports[pair])
        async with listener:
            task_status.started()
            await listener.serve(lambda stream: self.stream(pair, stream))

    async def stream(self, pair, near):
        """Both ways of one stream: what goes to the receiver passes this pair's way, what comes back the other one."""
        try:
            async with near, await anyio.connect_tcp("127.0.0.1", self.at[pair[1]]) as far, anyio.create_task_group() as group:
                group.start_soon(self.carry, self.ways[pair], near, far, group.cancel_scope)
                await self.carry(self.ways[pair[::-1]], far, near, group.cancel_scope)
        except* BROKEN:
            pass

    async def carry(self, way, source, to, scope):
        try:
            while True:
                data = await source.receive()
                while not way.open:
                    await anyio.sleep(LOOK)
                if way.delay:
                    await anyio.sleep(way.delay / 1e9)
                await to.send(data)
        except BROKEN:
            scope.cancel()
