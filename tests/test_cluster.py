"""Members of a cluster under virtual time: each hard case with its bound. Real processes are no part of this
file.
"""

import contextlib
import random
import unittest

from embertray.cluster.membership import ALIVE, DEAD, LEFT, SUSPECT, Membership, Pace
from embertray.cluster.membership.health import Health
from embertray.cluster.membership.member import Statement
from embertray.cluster.membership.messages import Ping, Unreadable, decode, encode
from embertray.emulator.gossip import MS, Ring, S

PACE = Pace()


def detect_within(members, pace=PACE):
    """The stated bound on declaring a killed member dead where links are good: each member probes each other
    once in two rounds; then nobody may confirm; then the statement goes round (docs/design/cluster.md)."""
    return 2 * (members - 1) * pace.period + pace.wait(members, 0) + 2 * members * pace.period


def names(*numbers):
    return [f"m{n}" for n in numbers]


def deaths(ring, *but):
    """Members declared dead that are alive, with who said so."""
    return [
        (who, change.name) for _, who, change in ring.notes if change.state == DEAD and change.name not in but
    ]


class NeverSuspects(Membership):
    def failed(self, now, number, probe):
        del self.probes[number]


class BelievesItself(Membership):
    """A sabotaged member: however slow it is, it blames the others."""

    def __init__(self, *args):
        super().__init__(*args)
        self.health = Health(0)


class Detect(unittest.TestCase):
    def test_a_killed_member_is_dead_at_all_within_the_bound(self):
        for count in (3, 5, 16):
            ring = Ring(count).gather(count)
            ring.kill("m1")
            took = ring.until(ring.agree, detect_within(count))
            self.assertIsNotNone(took, f"{count} members")
            self.assertEqual(deaths(ring, "m1"), [])

    def test_one_that_never_suspects_is_noticed_by_that_check(self):
        ring = Ring(5, make=NeverSuspects).gather(5)
        ring.kill("m1")
        self.assertIsNone(ring.until(ring.agree, detect_within(5)))

    def test_a_member_that_leaves_is_no_death(self):
        ring = Ring(2).gather(6)
        gone = ring.at["m2"]
        ring.send(gone, gone.core.leave(ring.engine.time))
        gone.alive = False
        self.assertIsNotNone(ring.until(ring.agree, 5 * S))
        ring.run(60 * S)
        self.assertEqual({ring.at[f"m{n}"].core.state_of("m2") for n in (0, 1, 3, 4, 5)}, {LEFT})
        self.assertEqual(deaths(ring), [])

    def test_one_way_links_are_no_deaths(self):
        ring = Ring(3).gather(5)
        ring.links.broken = {("m1", "m2"), ("m3", "m0")}  # m2 does not hear m1, m0 does not hear m3
        ring.run(120 * S)
        self.assertEqual(deaths(ring), [])
        self.assertTrue(ring.agree())

    def test_thirty_percent_lost_for_a_minute(self):
        for seed in range(4):
            ring = Ring(seed).gather(5)
            ring.links.loss = 0.3
            ring.run(60 * S)
            ring.links.loss = 0.0
            self.assertIsNotNone(ring.until(ring.agree, 30 * S))
            self.assertLessEqual(len(deaths(ring)), 4, "one false death at most, told by four")


class Pauses(unittest.TestCase):
    def wake(self, make, seed):
        ring = Ring(seed, make=make).gather(5)
        ring.at["m4"].stop()
        ring.run(10 * S)
        ring.at["m4"].go_on()
        ring.run(15 * S)
        return ring

    def test_who_wakes_blames_nobody_and_is_taken_in_again(self):
        for seed in range(5):
            ring = self.wake(Membership, seed)
            self.assertEqual(deaths(ring, "m4"), [])
            self.assertTrue(ring.agree())

    def test_local_health_keeps_a_slow_member_from_blaming_others(self):
        """What comes to it comes 1.2 s late, past the time for an answer; without local health it goes on
        blaming.
        """

        def blamed(make):
            found = 0
            for seed in range(6):
                ring = Ring(seed, make=make).gather(5)
                ring.links.lag["m4"] = 1200 * MS
                ring.run(60 * S)
                found += sum(1 for _, who, c in ring.notes if who == "m4" and c.state in (SUSPECT, DEAD))
            return found

        with_it, without = blamed(Membership), blamed(BelievesItself)
        self.assertLess(with_it, without / 2, (with_it, without))


class Splits(unittest.TestCase):
    def sides(self, ring, *groups, most=90 * S):
        ring.links.split(*groups)
        self.assertIsNotNone(ring.until(lambda: all(ring.agree(group) for group in groups), most))
        now = ring.engine.time
        alone = [p.core.me.name for p in ring.living() if p.core.cut_off(now)]
        ring.links.heal()
        self.assertIsNotNone(ring.until(ring.agree, 60 * S), "after the split's end")
        return alone

    def test_in_two_and_in_three_and_together_again(self):
        ring = Ring(4).gather(7)
        self.assertEqual(self.sides(ring, names(0, 1, 2), names(3, 4, 5, 6)), [])
        self.assertEqual(self.sides(ring, names(0, 4), names(1, 2, 3), names(5, 6)), [])

    def test_one_alone_believes_itself_cut_off(self):
        ring = Ring(5).gather(5)
        self.assertEqual(self.sides(ring, names(3), names(0, 1, 2, 4)), ["m3"])
        ring.run(5 * S)
        self.assertFalse(ring.at["m3"].core.cut_off(ring.engine.time))


class Names(unittest.TestCase):
    def test_a_restart_is_a_new_life_whatever_the_clock_says(self):
        for clock in (0, -3600 * S, 3600 * S):
            ring = Ring(6).gather(5)
            ring.kill("m3")
            ring.run(S)  # before anybody has missed it
            ring.up("m3", ["m0", "m1"], clock=clock)
            self.assertIsNotNone(ring.until(ring.agree, 20 * S), clock)
            ring.run(60 * S)
            self.assertTrue(ring.agree())

    def test_a_name_at_another_address_ends_the_older_process(self):
        for clock in (0, -3600 * S):
            ring = Ring(7).gather(4)
            ring.up("m2", ["m0"], address="elsewhere", clock=clock)
            ring.run(15 * S)
            self.assertIn("a younger process has the name m2", ring.at["m2"].core.ended)
            self.assertEqual(ring.at["elsewhere"].core.ended, "")
            self.assertTrue(ring.agree())
            self.assertEqual(
                {p.core.members["m2"].address for p in ring.living() if p.core.me.name != "m2"}, {"elsewhere"}
            )

    def test_who_waits_for_its_first_seed_has_joined_when_others_know_it(self):
        """Seen between processes: the first of two stayed 'not joined', and did not end for a younger one of
        its name.
        """
        ring = Ring(14)
        ring.up("m0", ["m1"])
        ring.run(3 * S)
        ring.up("m1", ["m0"])
        self.assertIsNotNone(ring.until(ring.agree, 10 * S))
        self.assertTrue(ring.at["m0"].core.joined)
        ring.up("m0", ["m1"], address="elsewhere")
        ring.run(10 * S)
        self.assertIn("a younger process", ring.at["m0"].core.ended)

    def test_one_that_was_removed_comes_back(self):
        ring = Ring(8).gather(4)
        ring.links.broken = {
            (a, b) for a in names(0, 1, 2, 3) for b in names(0, 1, 2, 3) if (a == "m3") != (b == "m3")
        }
        ring.run(60 * S)
        self.assertEqual(ring.at["m0"].core.state_of("m3"), DEAD)
        ring.links.heal()
        self.assertIsNotNone(ring.until(ring.agree, 30 * S))
        self.assertEqual(ring.at["m0"].core.state_of("m3"), ALIVE)

    def test_seeds_gone(self):
        ring = Ring(9).gather(4)
        ring.kill("m0")
        ring.run(detect_within(4))
        ring.up("m9", ["m0", "m2"])
        self.assertIsNotNone(ring.until(ring.agree, 20 * S))

    def test_all_restart_within_a_second_and_twenty_join_at_once(self):
        ring = Ring(10).gather(5)
        for n in range(5):
            ring.kill(f"m{n}")
        for n in range(5):
            ring.up(f"m{n}", names(0, 1))
            ring.run(150 * MS)
        self.assertIsNotNone(ring.until(ring.agree, 20 * S))
        for n in range(20):
            ring.up(f"n{n}", names(0, 1))
        self.assertIsNotNone(ring.until(ring.agree, 30 * S))
        self.assertEqual(deaths(ring, *names(0, 1, 2, 3, 4)), [])


class Strangers(unittest.TestCase):
    def test_other_clusters_versions_and_former_lives_are_counted_and_change_nothing(self):
        ring = Ring(11).gather(3)
        core, now = ring.at["m0"].core, ring.engine.time
        other = Statement("x", "x", 5, 0, ALIVE)
        for message, why in (
            (Ping("elsewhere", 1, other, 0, 1, []), "cluster"),
            (Ping("c", 2, other, 0, 1, []), "version"),
            (Ping("c", 1, other, core.me.life - 1, 1, [core.about(core.members["m1"], DEAD)]), "former life"),
        ):
            core.receive(now, "x", message)
            self.assertEqual(core.refused[why, "x"], 1)
        self.assertEqual((core.state_of("x"), core.state_of("m1")), (None, ALIVE))

    def test_strangers_from_ever_new_ports_cost_no_memory(self):
        ring = Ring(15).gather(2)
        core, other = ring.at["m0"].core, Statement("x", "x", 5, 0, ALIVE)
        for port in range(10_000):
            core.receive(ring.engine.time, f"x:{port}", Ping("elsewhere", 1, other, 0, 1, []))
        self.assertLess(len(core.refused), 2100)
        self.assertEqual(sum(core.refused.values()), 10_000)

    def test_a_replay_of_a_former_life_does_not_bring_it_back(self):
        ring = Ring(12).gather(4)
        old = ring.at["m2"].core.me
        ring.kill("m2")
        ring.run(S)
        ring.up("m2")
        ring.run(10 * S)
        life = ring.at["m1"].core.members["m2"].statement.life
        self.assertGreater(life, old.life)
        ring.at["m1"].core.receive(ring.engine.time, "m2", Ping("c", 1, old, 0, 1, []))
        self.assertEqual(ring.at["m1"].core.members["m2"].statement.life, life)

    def test_spoilt_and_repeated_messages_for_a_minute(self):
        ring = Ring(13).gather(5)
        ring.links.spoil, ring.links.again, ring.links.loss = 0.05, 0.2, 0.05
        ring.run(60 * S)
        ring.links.spoil = ring.links.again = ring.links.loss = 0.0
        self.assertGreater(ring.unreadable, 0)
        self.assertIsNotNone(ring.until(ring.agree, 30 * S))

    def test_no_bytes_raise_anything_but_unreadable(self):
        chance, whole = random.Random(1), encode(Ping("c", 1, Statement("m", "m", 1, 0, ALIVE), 0, 1, []))
        self.assertEqual(decode(whole).sender.name, "m")
        for _ in range(3000):
            data = bytearray(
                whole[: chance.randrange(len(whole) + 1)] + chance.randbytes(chance.randrange(4))
            )
            if data:
                data[chance.randrange(len(data))] = chance.randrange(256)
            with contextlib.suppress(Unreadable):
                decode(bytes(data))


if __name__ == "__main__":
    unittest.main()
