"""Cluster membership under virtual time: difficult cases with their time bounds. Real processes are covered
by test_cluster_processes.py.
"""

import contextlib
import random
import unittest

from embertray.cluster.membership import ALIVE, DEAD, LEFT, SUSPECT, Membership, MembershipConfig
from embertray.cluster.membership.exceptions import UnreadableMessageError
from embertray.cluster.membership.health import LocalHealth
from embertray.cluster.membership.member import Statement
from embertray.cluster.membership.messages import (
    Ack,
    FullState,
    Join,
    Message,
    Nack,
    Ping,
    PingRequest,
    decode,
    encode,
)
from embertray.simulation.emulator.engine import NS_PER_MS as MS, NS_PER_SECOND as S
from embertray.simulation.emulator.membership_simulation import MembershipSimulation

CONFIG = MembershipConfig()


def detection_bound(members, config=CONFIG):
    """The bound on declaring a killed member dead on working links: two rounds until each member has probed
    it, a suspicion timeout without confirmations, and the spread of the statement (docs/design/cluster.md).
    """
    return (
        2 * (members - 1) * config.probe_period
        + config.suspicion_timeout(members, 0)
        + 2 * members * config.probe_period
    )


def names(*numbers):
    return [f"m{n}" for n in numbers]


def deaths(simulation, *excluded):
    """(observer, member) of each death that a member has recorded, without the excluded members."""
    return [
        (who, change.name)
        for _, who, change in simulation.changes
        if change.state == DEAD and change.name not in excluded
    ]


class NeverSuspects(Membership):
    """A sabotaged member: a failed probe has no consequence."""

    def probe_failed(self, now, sequence, probe):
        del self.probes[sequence]


class IgnoresLocalHealth(Membership):
    """A sabotaged member: its local health never degrades, so a slow member suspects the others."""

    def __init__(self, *args):
        super().__init__(*args)
        self.health = LocalHealth(0)


class FailureDetection(unittest.TestCase):
    def test_killed_member_is_declared_dead_by_all_within_the_bound(self):
        for count in (3, 5, 16):
            simulation = MembershipSimulation(count).start_cluster(count)
            simulation.kill("m1")
            took = simulation.run_until(simulation.views_agree, detection_bound(count))
            self.assertIsNotNone(took, f"{count} members")
            self.assertEqual(deaths(simulation, "m1"), [])

    def test_detection_check_fails_for_a_member_that_never_suspects(self):
        simulation = MembershipSimulation(5, core_type=NeverSuspects).start_cluster(5)
        simulation.kill("m1")
        self.assertIsNone(simulation.run_until(simulation.views_agree, detection_bound(5)))

    def test_leaving_member_is_not_declared_dead(self):
        simulation = MembershipSimulation(2).start_cluster(6)
        gone = simulation.processes["m2"]
        simulation.send(gone, gone.core.leave(simulation.engine.time))
        gone.alive = False
        self.assertIsNotNone(simulation.run_until(simulation.views_agree, 5 * S))
        simulation.run(60 * S)
        self.assertEqual({simulation.processes[f"m{n}"].core.state_of("m2") for n in (0, 1, 3, 4, 5)}, {LEFT})
        self.assertEqual(deaths(simulation), [])

    def test_one_way_links_cause_no_deaths(self):
        simulation = MembershipSimulation(3).start_cluster(5)
        simulation.links.broken = {("m1", "m2"), ("m3", "m0")}  # m2 does not hear m1, m0 does not hear m3
        simulation.run(120 * S)
        self.assertEqual(deaths(simulation), [])
        self.assertTrue(simulation.views_agree())

    def test_thirty_percent_message_loss_for_a_minute(self):
        for seed in range(4):
            simulation = MembershipSimulation(seed).start_cluster(5)
            simulation.links.loss = 0.3
            simulation.run(60 * S)
            simulation.links.loss = 0.0
            self.assertIsNotNone(simulation.run_until(simulation.views_agree, 30 * S))
            self.assertLessEqual(
                len(deaths(simulation)), 4, "at most one false death, recorded by four members"
            )


class Pauses(unittest.TestCase):
    def run_with_pause(self, core_type, seed):
        simulation = MembershipSimulation(seed, core_type=core_type).start_cluster(5)
        simulation.processes["m4"].pause()
        simulation.run(10 * S)
        simulation.processes["m4"].resume()
        simulation.run(15 * S)
        return simulation

    def test_resumed_member_declares_nobody_dead_and_rejoins(self):
        for seed in range(5):
            simulation = self.run_with_pause(Membership, seed)
            self.assertEqual(deaths(simulation, "m4"), [])
            self.assertTrue(simulation.views_agree())

    def test_local_health_keeps_a_slow_member_from_suspecting_others(self):
        """Messages reach the slow member 1.2 s late, after the probe timeout; without local health it keeps
        suspecting the others.
        """

        def count_false_suspicions(core_type):
            found = 0
            for seed in range(6):
                simulation = MembershipSimulation(seed, core_type=core_type).start_cluster(5)
                simulation.links.extra_delay["m4"] = 1200 * MS
                simulation.run(60 * S)
                found += sum(
                    1
                    for _, who, change in simulation.changes
                    if who == "m4" and change.state in (SUSPECT, DEAD)
                )
            return found

        with_health = count_false_suspicions(Membership)
        without_health = count_false_suspicions(IgnoresLocalHealth)
        self.assertLess(with_health, without_health / 2, (with_health, without_health))


class Partitions(unittest.TestCase):
    def split_and_heal(self, simulation, *groups, timeout=90 * S):
        simulation.links.split(*groups)
        self.assertIsNotNone(
            simulation.run_until(lambda: all(simulation.views_agree(group) for group in groups), timeout)
        )
        now = simulation.engine.time
        cut_off_members = [p.core.local.name for p in simulation.running_processes() if p.core.cut_off(now)]
        simulation.links.heal()
        self.assertIsNotNone(
            simulation.run_until(simulation.views_agree, 60 * S), "after the partition has healed"
        )
        return cut_off_members

    def test_partitions_into_two_and_three_sides_heal(self):
        simulation = MembershipSimulation(4).start_cluster(7)
        self.assertEqual(self.split_and_heal(simulation, names(0, 1, 2), names(3, 4, 5, 6)), [])
        self.assertEqual(self.split_and_heal(simulation, names(0, 4), names(1, 2, 3), names(5, 6)), [])

    def test_isolated_member_reports_that_it_is_cut_off(self):
        simulation = MembershipSimulation(5).start_cluster(5)
        self.assertEqual(self.split_and_heal(simulation, names(3), names(0, 1, 2, 4)), ["m3"])
        simulation.run(5 * S)
        self.assertFalse(simulation.processes["m3"].core.cut_off(simulation.engine.time))


class Incarnations(unittest.TestCase):
    def test_restart_is_a_new_incarnation_for_any_wall_clock(self):
        for clock in (0, -3600 * S, 3600 * S):
            simulation = MembershipSimulation(6).start_cluster(5)
            simulation.kill("m3")
            simulation.run(S)  # before any member has detected the failure
            simulation.start_member("m3", ["m0", "m1"], clock=clock)
            self.assertIsNotNone(simulation.run_until(simulation.views_agree, 20 * S), clock)
            simulation.run(60 * S)
            self.assertTrue(simulation.views_agree())

    def test_a_name_at_another_address_ends_the_older_process(self):
        for clock in (0, -3600 * S):
            simulation = MembershipSimulation(7).start_cluster(4)
            simulation.start_member("m2", ["m0"], address="elsewhere", clock=clock)
            simulation.run(15 * S)
            self.assertIn("a younger process has the name m2", simulation.processes["m2"].core.ended)
            self.assertEqual(simulation.processes["elsewhere"].core.ended, "")
            self.assertTrue(simulation.views_agree())
            self.assertEqual(
                {
                    p.core.members["m2"].address
                    for p in simulation.running_processes()
                    if p.core.local.name != "m2"
                },
                {"elsewhere"},
            )

    def test_member_waiting_for_its_first_seed_has_joined_once_others_know_it(self):
        """Guards against a first process that stays 'not joined' after the second one has joined it, and
        therefore does not end when a newer process uses its name.
        """
        simulation = MembershipSimulation(14)
        simulation.start_member("m0", ["m1"])
        simulation.run(3 * S)
        simulation.start_member("m1", ["m0"])
        self.assertIsNotNone(simulation.run_until(simulation.views_agree, 10 * S))
        self.assertTrue(simulation.processes["m0"].core.joined)
        simulation.start_member("m0", ["m1"], address="elsewhere")
        simulation.run(10 * S)
        self.assertIn("a younger process", simulation.processes["m0"].core.ended)

    def test_removed_member_comes_back(self):
        simulation = MembershipSimulation(8).start_cluster(4)
        simulation.links.broken = {
            (a, b) for a in names(0, 1, 2, 3) for b in names(0, 1, 2, 3) if (a == "m3") != (b == "m3")
        }
        simulation.run(60 * S)
        self.assertEqual(simulation.processes["m0"].core.state_of("m3"), DEAD)
        simulation.links.heal()
        self.assertIsNotNone(simulation.run_until(simulation.views_agree, 30 * S))
        self.assertEqual(simulation.processes["m0"].core.state_of("m3"), ALIVE)

    def test_member_joins_though_one_seed_is_down(self):
        simulation = MembershipSimulation(9).start_cluster(4)
        simulation.kill("m0")
        simulation.run(detection_bound(4))
        simulation.start_member("m9", ["m0", "m2"])
        self.assertIsNotNone(simulation.run_until(simulation.views_agree, 20 * S))

    def test_all_restart_within_a_second_and_twenty_join_at_once(self):
        simulation = MembershipSimulation(10).start_cluster(5)
        for name in names(*range(5)):
            simulation.kill(name)
        for name in names(*range(5)):
            simulation.start_member(name, names(0, 1))
            simulation.run(150 * MS)
        self.assertIsNotNone(simulation.run_until(simulation.views_agree, 20 * S))
        for number in range(20):
            simulation.start_member(f"n{number}", names(0, 1))
        self.assertIsNotNone(simulation.run_until(simulation.views_agree, 30 * S))
        self.assertEqual(deaths(simulation, *names(0, 1, 2, 3, 4)), [])


class RejectedMessages(unittest.TestCase):
    def test_other_clusters_versions_and_former_incarnations_are_counted_and_change_nothing(self):
        simulation = MembershipSimulation(11).start_cluster(3)
        core = simulation.processes["m0"].core
        now = simulation.engine.time
        other = Statement("x", "x", 5, 0, ALIVE)
        death = core.statement_about(core.members["m1"], DEAD)
        for message, why in (
            (Ping("elsewhere", 1, other, 0, 1, []), "cluster"),
            (Ping("c", 2, other, 0, 1, []), "version"),
            (Ping("c", 1, other, core.local.incarnation - 1, 1, [death]), "former life"),
        ):
            core.receive(now, "x", message)
            self.assertEqual(core.rejected[why, "x"], 1)
        self.assertEqual((core.state_of("x"), core.state_of("m1")), (None, ALIVE))

    def test_every_message_that_can_be_read_has_a_handler(self):
        """A message class without a handler would end the process when the first such message arrives."""
        for message_type in (Ping, Ack, PingRequest, Nack, Join, FullState):
            simulation = MembershipSimulation(11).start_cluster(3)
            core = simulation.processes["m0"].core
            sender = simulation.processes["m1"].core.local
            more = {PingRequest: [sender], Join: [False], FullState: [0]}.get(message_type, [])
            message = message_type("c", 1, sender, core.local.incarnation, 1, [], *more)
            core.receive(simulation.engine.time, "m1", decode(encode(message)))
        with self.assertRaisesRegex(TypeError, "no handler for Message"):
            core.handle(simulation.engine.time, Message("c", 1, sender, 0, 1, []))

    def test_messages_from_ever_new_ports_cost_no_memory(self):
        simulation = MembershipSimulation(15).start_cluster(2)
        core = simulation.processes["m0"].core
        other = Statement("x", "x", 5, 0, ALIVE)
        for port in range(10_000):
            core.receive(simulation.engine.time, f"x:{port}", Ping("elsewhere", 1, other, 0, 1, []))
        self.assertLess(len(core.rejected), 2100)
        self.assertEqual(sum(core.rejected.values()), 10_000)

    def test_a_replay_of_a_former_incarnation_does_not_bring_it_back(self):
        simulation = MembershipSimulation(12).start_cluster(4)
        old = simulation.processes["m2"].core.local
        simulation.kill("m2")
        simulation.run(S)
        simulation.start_member("m2")
        simulation.run(10 * S)
        incarnation = simulation.processes["m1"].core.members["m2"].statement.incarnation
        self.assertGreater(incarnation, old.incarnation)
        simulation.processes["m1"].core.receive(simulation.engine.time, "m2", Ping("c", 1, old, 0, 1, []))
        self.assertEqual(simulation.processes["m1"].core.members["m2"].statement.incarnation, incarnation)

    def test_damaged_and_repeated_messages_for_a_minute(self):
        simulation = MembershipSimulation(13).start_cluster(5)
        simulation.links.corruption = 0.05
        simulation.links.duplication = 0.2
        simulation.links.loss = 0.05
        simulation.run(60 * S)
        simulation.links.corruption = simulation.links.duplication = simulation.links.loss = 0.0
        self.assertGreater(simulation.unreadable_datagrams, 0)
        self.assertIsNotNone(simulation.run_until(simulation.views_agree, 30 * S))

    def test_damaged_bytes_raise_only_unreadable_message_error(self):
        chance = random.Random(1)
        whole = encode(Ping("c", 1, Statement("m", "m", 1, 0, ALIVE), 0, 1, []))
        self.assertEqual(decode(whole).sender.name, "m")
        for _ in range(3000):
            data = bytearray(
                whole[: chance.randrange(len(whole) + 1)] + chance.randbytes(chance.randrange(4))
            )
            if data:
                data[chance.randrange(len(data))] = chance.randrange(256)
            with contextlib.suppress(UnreadableMessageError):
                decode(bytes(data))


if __name__ == "__main__":
    unittest.main()
