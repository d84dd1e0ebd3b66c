"""Days against the whole daemon: all in virtual time, some over sockets, and the rules' checks on sabotage.

A sabotaged controller breaks one rule on purpose, which shows that the check of that rule can fail.
"""

import os
import subprocess
import sys
import unittest
import zlib
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import sabotage

from embertray.simulation.scenarios import notation, player
from embertray.simulation.scenarios.rules import RULES

TESTS_FOLDER = Path(__file__).resolve().parent

DIGEST_SCRIPT = """
import sys, zlib
from embertray.simulation.scenarios import notation, player
print(zlib.crc32(repr(player.play(notation.load("kill"), seed=int(sys.argv[1])).events).encode()))
"""


def play_day(name):
    """Returns (name, violations by rule, credit, number of requests) of a built-in day."""
    result = player.play(notation.load(name), seed=2)
    return name, result.violations, result.credit, result.requests


def read_day(text):
    return notation.read(text, "told-here.day")


class BuiltInDays(unittest.TestCase):
    def test_every_day_keeps_the_rules_in_virtual_time(self):
        with ProcessPoolExecutor(4) as pool:
            for name, rules, credit, reqs in pool.map(
                play_day, [n for n in notation.names() if not notation.load(n).first_link_fault]
            ):
                with self.subTest(day=name):
                    self.assertEqual({rule: why for rule, why in rules.items() if why}, {})
                    credit_min = notation.load(name).expect.get("credit", "0.5")
                    self.assertGreater(credit, float(credit_min))
                    self.assertGreater(reqs, 0)

    def test_the_seed_determines_the_run(self):
        """Two processes with different hash seeds and addresses must give the same events."""
        one, two = (
            subprocess.run(
                [sys.executable, "-c", DIGEST_SCRIPT, "5"],
                capture_output=True,
                text=True,
                timeout=60,
                cwd=TESTS_FOLDER.parent,
                env={**os.environ, "PYTHONHASHSEED": salt},
            )
            for salt in "12"
        )
        self.assertTrue(one.stdout, one.stderr)
        self.assertEqual(one.stdout, two.stdout)
        other_seed = player.play(notation.load("kill"), seed=6)
        self.assertNotEqual(one.stdout.strip(), str(zlib.crc32(repr(other_seed.events).encode())))


class DaysOverSockets(unittest.TestCase):
    """The real program, as processes on loopback in real time, gives the same verdicts."""

    def test_the_first_day_keeps_the_rules(self):
        result = player.play(notation.load("first"), mode="sockets")
        self.assertEqual(result.verdicts(), dict.fromkeys(RULES, "kept"))
        self.assertGreater(result.credit, 0.95)

    def test_killed_and_stopped_controllers_and_a_drain(self):
        rough = read_day(
            "site pushed\nfleet backends=6 proxies=6 controllers=2\nload 40/s for 14s\n"
            "at 2s deploy b1 drain=4s\nat 3s kill c1 for 1s\nat 6s stall c2 for 2s\nat 7s deploy "
            "b2 drain=5s\n"
            "at 8s garbage c1\nat 9s half-message p1\nat 9s twice p2"
        )
        result = player.play(rough, mode="sockets")
        self.assertEqual({k: v for k, v in result.violations.items() if v}, {})
        self.assertGreater(result.credit, 0.8)
        self.assertGreater(len(result.spread), 5)


class RuleChecks(unittest.TestCase):
    """The check of each rule fails on a controller that breaks the rule."""

    def broken_rules(self, text, core):
        """Returns the rules that a sabotaged core breaks on a day on which the real one keeps all."""
        script = read_day(text)
        honest, sabotaged = player.play(script), player.play(script, core=core)
        self.assertEqual({k: v for k, v in honest.violations.items() if v}, {})
        return {rule for rule, why in sabotaged.violations.items() if why}

    def test_empty_tables_break_lost(self):
        self.assertIn(
            "lost",
            self.broken_rules("fleet backends=3 proxies=2\nload 10/s for 5s", sabotage.SendsEmptyTables),
        )

    def test_retries_of_non_replayable_requests_break_duplicate(self):
        self.assertIn(
            "duplicate",
            self.broken_rules(
                "site sealed\nfleet backends=4 proxies=3\nload 30/s for 10s\nat 2s errors b1 for 6s share=1",
                sabotage.RetriesNonReplayable,
            ),
        )

    def test_dropped_removals_break_drain(self):
        self.assertIn(
            "drain",
            self.broken_rules(
                "fleet backends=4 proxies=3\nload 30/s for 14s\nat 3s deploy b1 drain=8s",
                sabotage.DropsRemovals,
            ),
        )

    def test_overloaded_cold_backends_break_failback(self):
        self.assertIn(
            "failback",
            self.broken_rules(
                "fleet backends=4 proxies=4\nload 60/s for 25s\nat 3s crash b1 for 3s",
                sabotage.OverloadsColdBackends,
            ),
        )

    def test_resent_tables_break_backlog(self):
        self.assertIn(
            "backlog",
            self.broken_rules(
                "fleet backends=6 proxies=6\nload 20/s for 20s", sabotage.ResendsUnchangedTables
            ),
        )

    def test_too_many_messages_break_backlog(self):
        self.assertIn(
            "backlog",
            self.broken_rules(
                "site sealed\nfleet backends=4 proxies=3\nload 20/s for 20s", sabotage.TooManyMessages
            ),
        )


class CommandLine(unittest.TestCase):
    def run_embertray(self, *arguments):
        return subprocess.run(
            [sys.executable, "-m", "embertray", *arguments],
            capture_output=True,
            text=True,
            timeout=60,
            cwd=TESTS_FOLDER.parent,
        )

    def test_invalid_input_gives_one_error_line_and_exit_code_2(self):
        for arguments, expected in (
            (("play", "no-such-day"), "no such day"),
            (("check", "no.xml"), "no.xml"),
            (("serve", "no.xml"), "no.xml"),
        ):
            completed = self.run_embertray(*arguments)
            self.assertEqual((completed.returncode, completed.stdout), (2, ""))
            self.assertEqual(completed.stderr.count("\n"), 1)
            self.assertIn(expected, completed.stderr)

    def test_days_are_listed(self):
        self.assertEqual(len(self.run_embertray("days").stdout.splitlines()), len(notation.names()))

    def test_a_broken_rule_gives_exit_code_1_also_with_json(self):
        completed = self.run_embertray("play", str(TESTS_FOLDER / "days" / "beyond.day"), "--json")
        self.assertEqual(completed.returncode, 1, completed.stdout + completed.stderr)
        self.assertIn('"drain": "broken"', completed.stdout)


class Notation(unittest.TestCase):
    def test_errors_name_line_and_column(self):
        for text, expected in (
            ("load 5/s for 3s\nat 2s crush b1", ("here.day:2:7", "no trouble 'crush'")),
            ("at 2s crash c1", ("can't strike c1",)),
            ("at 2s crash b9", ("there is no b9",)),
            ("fleet wings=2", ("1:7", "knows no 'wings'")),
            ("at two crash b1", (":1:4",)),
            ("at 2s crash", ("must name what it strikes",)),
        ):
            with self.subTest(text=text), self.assertRaises(notation.DayError) as caught:
                read_day(text)
            for part in expected:
                self.assertIn(part, str(caught.exception))


if __name__ == "__main__":
    unittest.main()
