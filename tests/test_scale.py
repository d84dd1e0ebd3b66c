"""Tests of the scale measurements: recorded traffic, virtual members and hollow members.

What members of a cluster send for a fixed seed is counted and digested: a change that only saves processor
time must not alter a byte of it. The figures were recorded before the cores were optimized.
"""

import contextlib
import gc
import hashlib
import io
import itertools
import tempfile
import unittest
from collections import Counter, namedtuple
from pathlib import Path
from unittest import mock

import anyio
import structlog

from embertray.cluster.link import ClusterLink
from embertray.cluster.membership.messages import decode, encode
from embertray.cluster.state import Entry
from embertray.experiments.capacity.slope import load
from embertray.experiments.measure.capacity.record import Recording
from embertray.experiments.measure.scale import cluster_role, control_role, fleet, slopes, virtual
from embertray.experiments.measure.scale.merging import MergingRecording
from embertray.experiments.measure.scale.messages import (
    ClusterPlan,
    MemberReport,
    ReplicaPlan,
    Report,
    SubscriberPlan,
    Timetable,
)
from embertray.experiments.measure.scale.meter import Counters, Meter
from embertray.service.site import ClusterSettings
from embertray.simulation.emulator.cluster_simulation import ClusterSimulation
from embertray.simulation.emulator.engine import NS_PER_MS as MS, NS_PER_SECOND as S
from embertray.simulation.emulator.membership_simulation import START_NS, MembershipSimulation
from embertray.simulation.emulator.random_faults import random_faults
from embertray.simulation.emulator.state_exchanger import StateExchanger, encode_state_message
from embertray.simulation.processes.ports import free_ports
from embertray.simulation.scenarios import notation

MemberAddress = namedtuple("MemberAddress", "name cluster")
WAIT_TIMEOUT_S = 20  # s after which a wait fails


def setUpModule():
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))


def tearDownModule():
    structlog.reset_defaults()


class Traffic:
    """Counts messages and bytes, and digests them in the order they were sent."""

    def __init__(self):
        self.messages, self.bytes, self.digest = 0, 0, hashlib.sha256()
        self.not_reproduced = []  # messages that differ from their encoded and decoded form

    def add(self, data):
        self.messages += 1
        self.bytes += len(data)
        self.digest.update(data)

    def record_sends(self, simulation):
        sent = simulation.send

        def send(process, out):
            for address, message in out:
                if decode(encode(message)) != message:
                    self.not_reproduced.append(message)
                head = f"{simulation.engine.time} {process.core.local.address} {address} ".encode()
                self.digest.update(head)
                self.add(encode(message))
            sent(process, out)

        simulation.send = send
        return self

    @property
    def figures(self):
        return self.messages, self.bytes, self.digest.hexdigest()[:16]


def membership_traffic():
    """Membership alone, with lost, duplicated and corrupted datagrams, a death, a pause and a restart."""
    simulation = MembershipSimulation(7)
    traffic = Traffic().record_sends(simulation)
    simulation.start_cluster(12)
    simulation.links.loss, simulation.links.duplication, simulation.links.corruption = 0.2, 0.1, 0.05
    simulation.run(30 * S)
    simulation.kill("m3")
    simulation.processes["m5"].pause()
    simulation.run(20 * S)
    simulation.processes["m5"].resume()
    simulation.start_member("m3", ["m0"], clock=5 * MS)
    simulation.links.split([f"m{n}" for n in range(6)], [f"m{n}" for n in range(6, 12)])
    simulation.run(40 * S)
    simulation.links.heal()
    simulation.run(40 * S)
    return (*traffic.figures, len(simulation.changes)), traffic.not_reproduced


def simulation_traffic(text, seed):
    """Membership and state: (figures of datagrams, figures of state, checks of each claim)."""
    simulation = ClusterSimulation(notation.read(text), seed)
    datagrams, state, counted = Traffic().record_sends(simulation.membership), Traffic(), StateExchanger.count

    def count(exchanger, message):
        state.add(encode_state_message(message))
        return counted(exchanger, message)

    with mock.patch.object(StateExchanger, "count", count):
        claims = simulation.play().claims
    return datagrams.figures, state.figures, tuple(claims.checks.values())


MEMBERSHIP_FIGURES = (11624, 1275768, "b38abda91d644fad", 2325)
DAYS = {  # name: (text, seed), datagrams, state, checks of each claim
    "drawn 3": (
        (random_faults(3, 6), 3),
        (8551, 489925, "16bdd3ae3ede9ee4"),
        (9483, 785544, "2b6430c883c88af9"),
        (658, 9232, 6300, 1344, 2238),
    ),
    "drawn 98": (
        (random_faults(98, 5), 98),
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


class RecordedTraffic(unittest.TestCase):
    def test_membership_sends_the_recorded_bytes(self):
        figures, not_reproduced = membership_traffic()
        self.assertEqual(figures, MEMBERSHIP_FIGURES)
        self.assertEqual(not_reproduced, [], "messages differ from what their bytes decode to")

    def test_members_with_state_send_the_recorded_bytes(self):
        for name, (day, *recorded) in DAYS.items():
            with self.subTest(name):
                self.assertEqual(simulation_traffic(*day), tuple(recorded))


class FixedClock:
    """A clock that stands still, so that ages, and with them the bytes of an exchange, are fixed."""

    def __init__(self, now):
        self.time = now

    def now(self):
        return self.time

    wall = now


def fill_store(store, now, owners):
    """Fills a store with entries of other owners, each some seconds old."""
    entries = [Entry(f"m{n}", "facts", 1, n, n * S, b"f" * 60) for n in owners]
    store.merge(now, entries)
    store.mark_complete({entry.owner: (entry.incarnation, entry.version) for entry in entries})
    store.put(now, "facts", b"f" * 60)


KNOWN_OWNERS = range(10, 40), range(25, 70)  # owners known to the initiator and to its peer


def emulated_exchange():
    """Returns the bytes of state that each of two members sent in one exchange under virtual time."""
    simulation = MembershipSimulation(1, delay=(0, 0))
    exchangers = {}
    for name, owners in zip(("a", "b"), KNOWN_OWNERS, strict=True):
        exchangers[name] = exchanger = StateExchanger(
            simulation.start_member(name, []),
            lambda: exchangers,
            simulation.links,
            1,
            facts=lambda _: b"f" * 60,
        )
        exchanger.next_facts_at, exchanger.exchange.next_at = 10 * START_NS, 10 * START_NS
        fill_store(exchanger.store, START_NS, owners)
    simulation.run(0)
    exchangers["a"].send_offer(0, "b")
    simulation.run(0)
    return exchangers["a"].bytes_sent, exchangers["b"].bytes_sent


async def linked_exchange():
    """Returns (sent, received) bytes of state of each member in the same exchange through sockets."""
    links, served = [], anyio.Event()
    for name, owners, port in zip(("a", "b"), KNOWN_OWNERS, free_ports(2), strict=True):
        me = MemberAddress(name, f"127.0.0.1:{port}")
        link = ClusterLink(ClusterSettings("c", S, 1 << 20, 1 << 20), me, [], FixedClock(START_NS), 1, dict)
        fill_store(link.store, START_NS, owners)
        links.append(link)

    async def serve(stream):
        await links[1].state_exchange.serve(stream)
        served.set()

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        await links[0].state_exchange.exchange_with(me.cluster)
        await served.wait()
        group.cancel_scope.cancel()
    return [(link.counters.state_bytes_sent, link.counters.state_bytes_received) for link in links]


class ExchangeBytes(unittest.TestCase):
    def test_an_exchange_costs_as_many_bytes_under_virtual_time_as_through_sockets(self):
        first, second = emulated_exchange()
        self.assertEqual(anyio.run(linked_exchange), [(first, second), (second, first)])


SPANS = fleet.Spans(spread=0.5, settle=10.0, window=20.0)
VIRTUAL_FIGURES = {  # members: bytes of probes, bytes of state and datagrams, of all members in the window
    4: [15296, 43223, 192],
    12: [62203, 375092, 576],
}


class VirtualMembers(unittest.TestCase):
    def test_members_send_the_recorded_counts(self):
        for size, recorded in VIRTUAL_FIGURES.items():
            with self.subTest(size):
                one = virtual.measure(size, SPANS, S, 60)
                found = one.parts["probes"], one.parts["state"], one.messages
                self.assertEqual([round(value * size * SPANS.window) for value in found], recorded)
                self.assertEqual((one.seen_min, one.failures), (size, 0))
                self.assertEqual([count for count, _ in one.delays.values()], [size] * 3)

    def test_garbage_collector_thresholds_are_restored(self):
        before = gc.get_threshold()
        virtual.measure(2, fleet.Spans(0.1, 1.0, 2.0), S, 60)
        self.assertEqual(gc.get_threshold(), before)


class Meters(unittest.TestCase):
    def test_mean_and_worst_ten_seconds(self):
        meter = Meter()
        totals = [0, 100, 200] + [200 + 1_000 * n for n in range(1, 11)] + [10_300, 10_400]
        for second, total in enumerate(totals):
            meter.read(second * S, Counters(total, 2 * total, second, {"state": total // 2}))
        self.assertEqual(meter.rate("sent"), 10_400 / 14)
        self.assertEqual(meter.worst("sent"), 1_000)
        self.assertEqual(meter.worst("received"), 2_000)
        self.assertEqual(meter.part_rates(), {"state": 5_200 / 14})

    def test_worst_rate_of_a_shorter_window_is_its_mean(self):
        meter = Meter()
        for second, total in enumerate((0, 10, 40)):
            meter.read(second * S, Counters(total, 0, 0, {}))
        self.assertEqual(meter.worst("sent"), 20)


class Recordings(unittest.TestCase):
    def test_recorded_points_of_other_sizes_are_kept(self):
        with tempfile.TemporaryDirectory() as folder, contextlib.redirect_stdout(io.StringIO()):
            Recording("first", folder).save("some", "s a change", "members", [(8, 1.0), (32, 2.0)], "calm")
            MergingRecording("second", folder).save("some", "s a change", "members", [(32, 3.0), (64, 4.0)])
            slope = load(Path(folder) / "some.json")
        self.assertEqual(slope.points, [(8, 1.0), (32, 3.0), (64, 4.0)])
        self.assertIn("sizes 8 of commit", slope.note)
        self.assertIn("by first (calm", slope.note)


class Plans(unittest.TestCase):
    def test_each_member_belongs_to_one_process_and_starts_once(self):
        plans = fleet.cluster_plans(37, 4, SPANS, S, 60)
        names = [name for plan in plans for name in plan.names]
        starts = sorted(start for plan in plans for start in plan.timetable.starts)
        self.assertEqual((len(plans), len(names), len(set(names))), (4, 37, 37))
        self.assertEqual({b - a for a, b in itertools.pairwise(starts)}, {S // 2})
        self.assertEqual(len({plan.timetable.window_from for plan in plans}), 1)
        self.assertTrue(all(plan.timetable.window_from >= starts[-1] + 10 * S for plan in plans))

    def test_few_members_share_fewer_processes(self):
        self.assertEqual(len(fleet.cluster_plans(20, 8, SPANS, S, 60)), 2)

    def test_subscribers_are_spread_evenly_and_have_two_more_replicas(self):
        plans = fleet.control_plans(48, 4, SPANS, 8, 10, 100)
        replicas = [plan for plan in plans if isinstance(plan, ReplicaPlan)]
        follows = [row for plan in plans if isinstance(plan, SubscriberPlan) for row in plan.follows]
        self.assertEqual(([len(plan.names) for plan in replicas], len(plans)), ([1] * 8, 12))
        self.assertEqual(set(Counter(row[0] for row in follows).values()), {6})
        self.assertTrue(all(len(set(row)) == 3 for row in follows))
        ports = [*replicas[0].peers.values(), *replicas[0].listen.values()]
        self.assertEqual(len(set(ports)), 16)


def member_report(name, delays):
    return MemberReport(
        name, 100.0, 50.0, 300.0, 60.0, 2.0, 2, 4.5, delays, 1, {"state": 80.0, "probes": 20.0}
    )


class Summaries(unittest.TestCase):
    def test_reports_of_one_role_are_combined(self):
        rows = [("member", "a", {1: 0.5, 2: 3.0}), ("member", "b", {1: 0.7}), ("other", "c", {})]
        reports = [
            Report(role, 3.0, 1_000, 5_000, [member_report(name, delays)]) for role, name, delays in rows
        ]
        one = fleet.summary(2, "member", reports, 10.0)
        self.assertEqual((one.count, one.processor, one.memory, one.failures), (2, 0.3, 4_000, 2))
        self.assertEqual((one.sent, one.sent_worst, one.oldest), (100.0, 300.0, 4.5))
        self.assertEqual(one.delays, {1: (2, 0.7), 2: (1, 3.0)})
        self.assertIsNone(slopes.time_to_all(one), "one member did not see the second mark")
        one.delays.pop(2)
        self.assertEqual(slopes.time_to_all(one), 0.7)


async def linked_members(count):
    """Runs hollow members on loopback until all have seen a mark, and returns them."""
    addresses = {f"m{n}": f"127.0.0.1:{port}" for n, port in enumerate(free_ports(count))}
    unused_timetable = Timetable([], 0, 0, [])
    plan = ClusterPlan(unused_timetable, list(addresses), addresses, S // 20, 60, "m0")
    members = cluster_role.members(plan)
    async with anyio.create_task_group() as group:
        for member in members:
            group.start_soon(member.run)
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while not all(member.link and member.seen() == count for member in members):
                await anyio.sleep(0.01)
            mark = members[0].clock.now()
            await members[0].mark(mark)
            while not all(mark in member.delays for member in members):
                await anyio.sleep(0.01)
                for member in members:
                    member.check_marks(member.clock.now())
        group.cancel_scope.cancel()
    return members


class HollowMembers(unittest.TestCase):
    def test_links_see_each_other_and_a_mark(self):
        members = anyio.run(linked_members, 4)
        counted = [member.counters() for member in members]
        self.assertTrue(all(one.parts["state"] + one.parts["probes"] == one.sent for one in counted))
        self.assertTrue(all(one.received and one.messages for one in counted))


async def control_members(replicas, subscribers):
    """Runs hollow replicas and subscribers until all subscribers hold the keys and have seen a mark."""
    plans = fleet.control_plans(subscribers, 1, SPANS, replicas, 3, 50)
    leaders = [member for plan in plans[:replicas] for member in control_role.replicas(plan)]
    followers = control_role.subscribers(plans[replicas])
    async with anyio.create_task_group() as group:
        for member in leaders + followers:
            group.start_soon(member.run)
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while not all(member.client.revision >= 3 for member in followers):
                await anyio.sleep(0.01)
            mark = followers[0].clock.now()
            while not all(mark in member.delays for member in followers):
                for member in leaders:
                    await member.mark(mark)  # only the leader writes; a repeated request is not written again
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    return leaders, followers


class HollowControlPlane(unittest.TestCase):
    def test_subscribers_apply_a_mark_written_to_the_replicas(self):
        leaders, followers = anyio.run(control_members, 3, 5)
        self.assertEqual(sum(member.seen() for member in leaders), 5)
        self.assertTrue(all(member.counters().received for member in leaders + followers))


if __name__ == "__main__":
    unittest.main()
