"""Tests of the simulated control plane: its claims hold under each kind of fault and under random faults, and
sabotaged parts break them.
"""

import random
import unittest

from embertray.cluster.replication.codec import encode
from embertray.cluster.replication.messages import Heartbeat
from embertray.cluster.replication.replica import Replica
from embertray.cluster.replication.replica_state import ReplicaState
from embertray.cluster.replication.subscriber import Subscriber
from embertray.cluster.replication.subscriber_feed import SubscriberFeed
from embertray.simulation.emulator.control import ControlPlaneSimulation, Settings, draw_faults
from embertray.simulation.emulator.control.faults import KINDS, Fault, inject_fault, play_faults
from embertray.simulation.emulator.control.replica_process import ReplicaProcess
from embertray.simulation.emulator.control.subscriber_process import SubscriberProcess

S = 10**9
# Longer than any bound after a fault, so that writes are then due within the bound for good links.
SETTLE_TIME = 50 * S


def simulate(seed, faults=8, pause=4 * S, group_size=1, **more):
    """Runs a simulation with random faults to its end."""
    simulation = ControlPlaneSimulation(Settings(seed=seed, **more))
    simulation.start()
    simulation.run(10 * S)
    play_faults(simulation, draw_faults(random.Random(seed), simulation, faults), pause, group_size)
    simulation.settle()
    return simulation


class RandomFaults(unittest.TestCase):
    def assert_kept(self, simulation):
        self.assertEqual((dict(simulation.claims.counts), simulation.claims.broken[:3]), ({}, []))
        self.assertGreater(simulation.writer.acknowledged, 0)
        for subscriber in simulation.subscribers.values():
            self.assertLessEqual(subscriber.max_window_bytes, 10 * simulation.settings.feed.bytes_per_second)

    def test_each_kind_of_fault(self):
        for kind in KINDS:
            with self.subTest(kind):
                simulation = ControlPlaneSimulation(Settings(seed=1, write_every=S // 2))
                simulation.start()
                simulation.run(10 * S)
                faults = draw_faults(random.Random(7), simulation, 3, kinds=(kind,))
                play_faults(simulation, faults, 4 * S)
                simulation.settle()
                self.assert_kept(simulation)

    def test_random_faults_at_several_sizes(self):
        for seed, more in enumerate(
            ({}, {"replicas": 5, "regions": 3}, {"replicas": 8, "regions": 6, "subscribers": 12})
        ):
            with self.subTest(**more):
                self.assert_kept(simulate(seed, group_size=1 + seed, **more))

    def test_writes_are_prompt_once_fault_bounds_have_passed(self):
        simulation = simulate(5, faults=3, pause=SETTLE_TIME, write_every=S // 2)
        self.assert_kept(simulation)
        self.assertGreater(len(simulation.claims.propagation_times["prompt"]), 100)
        self.assertLess(max(simulation.claims.propagation_times["prompt"]), simulation.bounds.good)

    def test_writes_take_effect_within_the_bound_for_dead_replicas(self):
        for dead, seed in ((1, 11), (1, 12), (2, 13), (2, 14)):
            with self.subTest(dead=dead, seed=seed):
                simulation = ControlPlaneSimulation(
                    Settings(seed=seed, replicas=5, subscribers=20, write_every=S // 4)
                )
                simulation.start()
                simulation.run(20 * S)
                leader = next(
                    n
                    for n, one in simulation.replicas.items()
                    if one.core.has_majority(simulation.engine.time)
                )
                other = next(name for name in simulation.replica_names if name != leader)
                for name in (leader, other)[:dead]:
                    simulation.replicas[name].kill(silent=True)
                simulation.restart_bounds()
                died, bound = simulation.engine.time, simulation.bounds.replicas_dead(dead)
                for _ in range(120):
                    simulation.run(S // 4)
                    for name, one in simulation.subscribers.items():
                        simulation.claims.check_in_force(
                            simulation.engine.time, name, one.core.revision, died, bound, "prompt"
                        )
                self.assertTrue(simulation.claims.kept, simulation.claims.broken)
                self.assertGreater(simulation.claims.checks["prompt"], 500)

    def test_the_same_seed_gives_the_same_run(self):
        first, second = simulate(3), simulate(3)
        self.assertEqual(first.claims.history, second.claims.history)
        self.assertEqual(first.engine.calls_made, second.engine.calls_made)
        for one, other in zip(first.subscribers.values(), second.subscribers.values(), strict=True):
            self.assertEqual((one.bytes_in, one.bytes_out), (other.bytes_in, other.bytes_out))

    def test_region_partitioned_for_an_hour_catches_up_within_its_budget(self):
        simulation = ControlPlaneSimulation(
            Settings(seed=2, replicas=5, regions=5, subscribers=10, keys=200, write_every=4 * S)
        )
        simulation.start()
        simulation.run(10 * S)
        apart = [name for name in simulation.links.region if simulation.links.region[name] == 1]
        together = [name for name in simulation.links.region if name not in apart]
        simulation.restart_bounds()
        simulation.links.split(together, apart)
        simulation.run(3_600 * S)
        away = simulation.subscribers["s001"].core
        self.assertGreater(away.age(simulation.engine.time), 3_590 * S)
        lacking = sum(
            entry.size for entry in simulation.replicas["r0"].core.store.entries_since(away.revision)
        )
        simulation.heal()
        limit = simulation.bounds.any_fault + simulation.bounds.waiting(lacking)
        simulation.run(limit)
        self.assertLess(away.age(simulation.engine.time), 5 * S)
        simulation.settle()
        self.assert_kept(simulation)

    def test_subscribers_starting_at_once_stay_within_their_budgets(self):
        simulation = ControlPlaneSimulation(
            Settings(seed=4, subscribers=30, keys=300, write_every=20_000_000)
        )
        simulation.start()
        simulation.run(25 * S)
        simulation.writer.stop()
        simulation.run(10 * S)
        for process in simulation.subscribers.values():
            process.kill()
        simulation.heal()
        simulation.settle()
        self.assert_kept(simulation)
        lowest = min(one.core.revision for one in simulation.subscribers.values())
        self.assertEqual(lowest, simulation.replicas["r0"].core.store.revision)

    def test_rollback_overrides_a_version_that_is_still_being_sent(self):
        simulation = ControlPlaneSimulation(Settings(seed=6, subscribers=12, write_every=10**6 * S))
        simulation.start()
        simulation.run(10 * S)
        leader = next(
            one for one in simulation.replicas.values() if one.core.has_majority(simulation.engine.time)
        )
        good, faulty = b"good" * 50, b"faulty" * 500
        leader.put("route", good, "q1", lambda outcome: None)
        simulation.run(5 * S)
        leader.put("route", faulty, "q2", lambda outcome: None)
        while not any(one.core.store.get("route").value == faulty for one in simulation.subscribers.values()):
            simulation.run(S // 1_000)
        leader.put(
            "route", good, "q3", lambda outcome: None
        )  # some subscribers have the faulty value, others not yet
        simulation.run(simulation.bounds.good)
        values = {one.core.store.get("route").value for one in simulation.subscribers.values()}
        self.assertEqual(values, {good})
        simulation.settle()
        self.assertTrue(simulation.claims.kept, simulation.claims.broken)

    def test_replica_killed_in_the_middle_of_a_delta(self):
        simulation = ControlPlaneSimulation(Settings(seed=8, keys=100, write_every=10**6 * S))
        simulation.start()
        simulation.run(10 * S)
        subscriber = simulation.subscribers["s000"]
        others = [name for name in (*simulation.replicas, *simulation.subscribers) if name != "s000"]
        simulation.links.split(others, ["s000"])
        leader = next(
            one for one in simulation.replicas.values() if one.core.has_majority(simulation.engine.time)
        )
        for n in range(60):
            leader.put(f"k{n}", bytes(300), f"q{n}", lambda outcome: None)
            simulation.run(S // 10)
        simulation.heal()
        before = subscriber.core.revision
        while subscriber.core.revision == before:
            simulation.run(S // 100)
        self.assertLess(subscriber.core.revision, leader.core.store.revision)
        inject_fault(simulation, Fault("kill replica", (subscriber.core.replica,), S))
        simulation.settle()
        self.assert_no_gap(simulation, subscriber)

    def assert_no_gap(self, simulation, subscriber):
        self.assertTrue(simulation.claims.kept, simulation.claims.broken)
        digests = {one.core.store.digest for one in simulation.replicas.values()}
        self.assertEqual({subscriber.core.store.digest}, digests)


class AnswersWithoutMajority(Replica):
    """A sabotaged replica: it acknowledges writes without a majority."""

    majority = property(lambda self: 1)


class TreatsLostStateAsFirstStart(Replica):
    """A sabotaged replica: it takes a start without saved state for the first start of the cluster."""

    def __init__(self, *args, saved=None, **kwargs):
        args = [*args[:6], args[6] or ReplicaState(0, "", 0, 0, 0, [], [], [])]
        super().__init__(*args, **kwargs)


class AppliesOlderVersions(Subscriber):
    """A sabotaged subscriber: it applies every entry that it receives, newer or not."""

    def _apply(self, entry):
        self.store.discard(entry.key)
        return super()._apply(entry)


class ReportsZeroAge(Subscriber):
    """A sabotaged subscriber: it reports an age of zero."""

    def age(self, now):
        return 0


class SendsNoUpdates(SubscriberFeed):
    """A sabotaged feed: it sends heartbeats but no updates."""

    def _send_update(self, now, one, out):
        pass


class IgnoresBudget(SubscriberFeed):
    """A sabotaged feed: it ignores its byte budget, and sends everything repeatedly."""

    def _send_update(self, now, one, out):
        one.token_bucket.tokens = self.total_bucket.tokens = 10**9
        super()._send_update(now, one, out)
        one.in_flight = None


class IgnoresReplicaAge(SubscriberFeed):
    """A sabotaged feed: its heartbeats state an age of zero, whatever the replica's age is."""

    def _send(self, now, one, data, out):
        super()._send(now, one, data, out)
        if out and data[:1] == encode(Heartbeat(0, 0, 0, 0))[:1] and b"heartbeat" in data:
            store = self.store()
            out[-1] = type(out[-1])(one.name, encode(Heartbeat(store.revision, store.digest, 0, one.stamp)))


def replica_process_type(core=Replica, feed=SubscriberFeed):
    return type("Sabotaged", (ReplicaProcess,), {"core_type": core, "feed_type": feed})


def subscriber_process_type(core):
    return type("Sabotaged", (SubscriberProcess,), {"core_type": core})


class Sabotage(unittest.TestCase):
    """Each claim is broken by a sabotaged part."""

    def broken_claims(self, seeds=range(1, 6), **process_types):
        broken_names = set()
        for seed in seeds:
            simulation = ControlPlaneSimulation(
                Settings(seed=seed, write_every=S // 4, keys=5), **process_types
            )
            simulation.start()
            simulation.run(10 * S)
            play_faults(simulation, draw_faults(random.Random(seed), simulation, 6), 4 * S, group_size=2)
            simulation.settle()
            broken_names |= set(simulation.claims.counts)
        return broken_names

    def test_replica_that_answers_without_a_majority(self):
        self.assertLessEqual(
            {"history", "acknowledged"},
            self.broken_claims(replica_process=replica_process_type(AnswersWithoutMajority)),
        )

    def test_replica_that_votes_after_losing_its_state(self):
        kinds = ("lose disk", "split", "kill replica")
        broken_names = set()
        for seed in range(1, 13):
            simulation = ControlPlaneSimulation(
                Settings(seed=seed, write_every=S // 8, keys=5),
                replica_process=replica_process_type(TreatsLostStateAsFirstStart),
            )
            simulation.start()
            simulation.run(8 * S)
            play_faults(
                simulation, draw_faults(random.Random(seed), simulation, 10, kinds), S // 2, group_size=3
            )
            broken_names |= set(simulation.claims.counts)
            if broken_names:
                break
        self.assertIn("history", broken_names)

    def test_subscriber_that_applies_older_versions(self):
        feed = replica_process_type(feed=IgnoresBudget)
        self.assertIn(
            "once",
            self.broken_claims(
                replica_process=feed, subscriber_process=subscriber_process_type(AppliesOlderVersions)
            ),
        )

    def test_subscriber_that_reports_zero_age(self):
        self.assertIn("age", self.broken_claims(subscriber_process=subscriber_process_type(ReportsZeroAge)))

    def test_feed_that_ignores_the_replica_age(self):
        self.assertIn("age", self.broken_claims(replica_process=replica_process_type(feed=IgnoresReplicaAge)))

    def test_feed_that_sends_no_updates(self):
        self.assertIn(
            "in force",
            self.broken_claims(seeds=[1], replica_process=replica_process_type(feed=SendsNoUpdates)),
        )

    def test_feed_that_ignores_its_budget(self):
        large = Settings(seed=1, write_every=S // 4, value=(2_000, 4_000))
        simulation = ControlPlaneSimulation(large, replica_process=replica_process_type(feed=IgnoresBudget))
        simulation.start()
        simulation.run(30 * S)
        worst = max(one.max_window_bytes for one in simulation.subscribers.values())
        self.assertGreater(worst, 10 * simulation.settings.feed.bytes_per_second)


if __name__ == "__main__":
    unittest.main()
