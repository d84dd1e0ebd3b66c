"""What members of a cluster send for a fixed seed, counted and digested: a change that is to save processor
time alone must not move one byte. The figures were recorded before the cores were made faster."""

import hashlib
import unittest
from collections import namedtuple
from unittest import mock

import anyio

from embertray.cluster.link import ClusterLink
from embertray.cluster.membership.messages import decode, encode
from embertray.cluster.state import Entry
from embertray.days import notation
from embertray.emulator.company import Company
from embertray.emulator.drawn import wounds
from embertray.emulator.gossip import MS, START, Ring, S
from embertray.emulator.shared import Sharer, pack
from embertray.rig.ports import free_ports
from embertray.site.site import Cluster

Me = namedtuple("Me", "name cluster")


class Traffic:
    """Counts messages and bytes, and digests them in the order in which they were sent."""

    def __init__(self):
        self.messages, self.bytes, self.digest = 0, 0, hashlib.sha256()
        self.misread = []  # messages whose bytes stand for another one

    def add(self, data):
        self.messages += 1
        self.bytes += len(data)
        self.digest.update(data)

    def watch(self, ring):
        sent = ring.send

        def send(process, out):
            for address, message in out:
                if decode(encode(message)) != message:
                    self.misread.append(message)
                head = f"{ring.engine.time} {process.core.me.address} {address} ".encode()
                self.digest.update(head)
                self.add(encode(message))
            sent(process, out)

        ring.send = send
        return self

    @property
    def figures(self):
        return self.messages, self.bytes, self.digest.hexdigest()[:16]


def ring_traffic():
    """Membership alone: lost, repeated and spoilt datagrams, a death, a standstill, a life begun again."""
    ring = Ring(7)
    traffic = Traffic().watch(ring)
    ring.gather(12)
    ring.links.loss, ring.links.again, ring.links.spoil = 0.2, 0.1, 0.05
    ring.run(30 * S)
    ring.kill("m3")
    ring.at["m5"].stop()
    ring.run(20 * S)
    ring.at["m5"].go_on()
    ring.up("m3", ["m0"], clock=5 * MS)
    ring.links.split([f"m{n}" for n in range(6)], [f"m{n}" for n in range(6, 12)])
    ring.run(40 * S)
    ring.links.heal()
    ring.run(40 * S)
    return (*traffic.figures, len(ring.notes)), traffic.misread


def company_traffic(text, seed):
    """Membership and state: (datagrams' figures, state's figures, what was asked of each claim)."""
    company = Company(notation.read(text), seed)
    datagrams, state, said = Traffic().watch(company.ring), Traffic(), Sharer.say

    def say(sharer, message):
        state.add(pack(message))
        return said(sharer, message)

    with mock.patch.object(Sharer, "say", say):
        claims = company.play().claims
    return datagrams.figures, state.figures, tuple(claims.held.values())


RING = (11624, 1275768, "b38abda91d644fad", 2325)
DAYS = {  # name: (text, seed), datagrams, state, how often each claim was asked for
    "drawn 3": (
        (wounds(3, 6), 3),
        (8551, 489925, "16bdd3ae3ede9ee4"),
        (9483, 785544, "2b6430c883c88af9"),
        (658, 9232, 6300, 1344, 2238),
    ),
    "drawn 98": (
        (wounds(98, 5), 98),
        (10349, 613297, "4f4d02c42d08d833"),
        (7672, 553676, "6102bdaaa41044b3"),
        (0, 8400, 5564, 0, 2199),
    ),
    "all at once, a split, a death": (
        (
            "fleet controllers=24 cluster=yes period=1s\nload 1/s for 100s\n"
            "at 30s split groups=40%/60% for 40s\nat 20s kill c20 for 15s\n",
            5,
        ),
        (12419, 2054387, "2b79c5304bbad2a3"),
        (6765, 3351240, "954b9f553bd434c5"),
        (0, 0, 0, 43023, 0),
    ),
}


class SameTraffic(unittest.TestCase):
    def test_membership_sends_the_recorded_bytes(self):
        figures, misread = ring_traffic()
        self.assertEqual(figures, RING)
        self.assertEqual(misread, [], "a ring hands on messages in place of their bytes")

    def test_members_with_state_send_the_recorded_bytes(self):
        for name, (day, *recorded) in DAYS.items():
            with self.subTest(name):
                self.assertEqual(company_traffic(*day), tuple(recorded))


class FixedClock:
    """Time stands still: ages, and so the bytes of an exchange, depend on nothing else."""

    def __init__(self, now):
        self.time = now

    def now(self):
        return self.time

    wall = now


def filled(book, now, owners):
    """A book that holds entries of other owners, each told some seconds ago."""
    entries = [Entry(f"m{n}", "facts", 1, n, n * S, b"f" * 60) for n in owners]
    book.merge(now, entries)
    book.caught_up({entry.owner: (entry.life, entry.version) for entry in entries})
    book.put(now, "facts", b"f" * 60)


KNOWN = range(10, 40), range(25, 70)  # owners that the one who begins holds, and the other


def emulated_exchange():
    """Bytes of state that each of two members sent in one exchange under virtual time."""
    ring = Ring(1, delay=(0, 0))
    sharers = {}
    for name, owners in zip(("a", "b"), KNOWN, strict=True):
        sharers[name] = sharer = Sharer(
            ring.up(name, []), lambda: sharers, ring.links, 1, facts=lambda _: b"f" * 60
        )
        sharer.facts_at, sharer.exchange.at = 10 * START, 10 * START
        filled(sharer.book, START, owners)
    ring.run(0)
    sharers["a"].offer(0, "b")
    ring.run(0)
    return sharers["a"].bytes, sharers["b"].bytes


async def linked_exchange():
    """The same exchange of two members with sockets: (sent, received) of each, bytes of state."""
    links, served = [], anyio.Event()
    for name, owners, port in zip(("a", "b"), KNOWN, free_ports(2), strict=True):
        me = Me(name, f"127.0.0.1:{port}")
        link = ClusterLink(Cluster("c", S, 1 << 20, 1 << 20), me, [], FixedClock(START), 1, dict)
        filled(link.book, START, owners)
        links.append(link)

    async def serve(stream):
        await links[1].serve(stream)
        served.set()

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        await links[0].with_one(me.cluster)
        await served.wait()
        group.cancel_scope.cancel()
    return [(link.counted["state_bytes_sent"], link.counted["state_bytes_received"]) for link in links]


class SameCounts(unittest.TestCase):
    def test_an_exchange_costs_as_many_bytes_under_virtual_time_as_through_sockets(self):
        first, second = emulated_exchange()
        self.assertEqual(anyio.run(linked_exchange), [(first, second), (second, first)])


if __name__ == "__main__":
    unittest.main()
