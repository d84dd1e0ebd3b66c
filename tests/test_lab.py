"""The lab and the emulator's engine: theory, resumption, rows for what dies, reports that hide nothing."""

import sqlite3
import tempfile
import unittest
from pathlib import Path

import numpy as np
import sabotage

from embertray.experiments.lab import experiment, hunt, policies, report, run
from embertray.experiments.lab.results import Results
from embertray.simulation.emulator.engine import Engine, StuckClockError
from embertray.simulation.emulator.queueing import (
    batch_confidence_interval,
    erlang_c,
    md1_wait,
    power_of_choices_wait,
    processor_sharing_delay,
    simulate_waits,
)

TEXT = """<experiment name="t" seconds="60">
  <about>Small.</about>
  <day>
    site pushed
    fleet backends=$n proxies=2
    load 20/s for 3s
  </day>
  <factor name="n"><level>3</level><level>10</level></factor>
  <arm name="module" policy="module"/><arm name="even" policy="even"/>
  <seeds to="2"/>
</experiment>"""


class Theory(unittest.TestCase):
    """Waits within the confidence interval of batch means."""

    def near(self, values, expected, also=0.0):
        mean, half = batch_confidence_interval(values)
        self.assertLess(abs(mean - expected), half + also, (mean, expected, half))
        self.assertLess(half, 0.3 * expected + 0.02)  # an interval so wide would prove nothing

    def test_one_and_many_cores(self):
        for cores, load in ((1, 0.5), (1, 0.8), (4, 0.7)):
            self.near(
                simulate_waits(1, cores, load, 24_000, np.random.default_rng(cores)), erlang_c(cores, load)
            )

    def test_fixed_service(self):
        self.near(simulate_waits(1, 1, 0.7, 24_000, np.random.default_rng(2), "fixed"), md1_wait(0.7))

    def test_processor_sharing_is_insensitive_to_the_service(self):
        for cores, load, service in ((1, 0.6, "exp"), (1, 0.6, "fixed"), (4, 0.8, "fixed")):
            waits = simulate_waits(
                1, cores, load, 24_000, np.random.default_rng(cores), service, sharing=True
            )
            self.near(waits, processor_sharing_delay(cores, load))

    def test_the_shorter_of_two(self):
        waits = simulate_waits(100, 1, 0.8, 24_000, np.random.default_rng(3), choices=2)
        self.near(waits, power_of_choices_wait(0.8), also=0.04)  # the limit is of many queues; here are 100
        self.assertLess(
            waits.mean(), 0.5 * simulate_waits(100, 1, 0.8, 24_000, np.random.default_rng(3)).mean()
        )

    def test_ties_go_in_the_order_of_their_planning_and_time_never_stands_still(self):
        engine, seen = Engine(), []
        for n in range(5):
            engine.at(7, seen.append, n)
        engine.run()
        self.assertEqual(seen, list(range(5)))
        with self.assertRaises(ValueError):
            engine.at(6, print)

        def again():
            engine.at(engine.time, again)

        again()
        engine.MAX_CALLS_AT_ONCE = 1000
        with self.assertRaises(StuckClockError):
            engine.run()


class Lab(unittest.TestCase):
    def setUp(self):
        box = tempfile.TemporaryDirectory()
        self.addCleanup(box.cleanup)
        self.path = Path(box.name) / "r.sqlite"
        self.told = experiment.read(TEXT)

    def results(self, path=None):
        results = Results(path or self.path)
        self.addCleanup(results.db.close)
        results.begin(self.told, "abc", "now")
        return results

    def rows(self, results):
        return [{k: v for k, v in row.items() if k != "wall"} for row in results.rows()]

    def test_it_goes_on_where_it_was_stopped_and_the_rows_are_the_same(self):
        whole, half = self.results(), self.results(self.path.with_name("half.sqlite"))
        run.run(self.told, whole, jobs=4)
        for found in list(self.told.runs())[3:0:-1]:
            half.add(found, *run.run_in_process(self.told, found))
        run.run(self.told, half, jobs=1)
        self.assertEqual(len(self.rows(whole)), 8)
        self.assertEqual(self.rows(whole), self.rows(half))
        self.assertIn("| 3 |", report.page(self.told, whole))
        self.assertIn("+0.0000", report.compare(whole, half))

    def test_a_run_that_hangs_or_dies_is_a_row_and_no_mean_is_shown(self):
        hasty = experiment.read(TEXT.replace('seconds="60"', 'seconds="1"').replace("for 3s", "for 900s"))
        results = Results(self.path)
        self.addCleanup(results.db.close)
        results.begin(hasty, "", "now")
        runs = list(hasty.runs())
        results.add(runs[0], *run.run_in_process(hasty, runs[0]))
        results.add(runs[2], {"broken": {}, "credit": 0.9, "credit_by_kind": {}, "reqs": 5}, None, 1.0)
        self.assertIn("hung", next(results.rows())["error"] or list(results.rows())[1]["error"])
        page = report.page(hasty, results)
        self.assertIn("1 runs died or hung", page)
        self.assertIn("1 of 2 died", page)
        self.assertIn("runs are missing", page)
        self.assertNotIn("0.900", page.split("Worst")[0])

    def test_a_broken_rule_in_one_run_is_on_the_first_line(self):
        results = self.results()
        for n, found in enumerate(self.told.runs()):
            broken = {"drain": ["at 3 s"]} if n == 4 else {}
            results.add(
                found,
                {
                    "broken": broken,
                    "credit": 1.0,
                    "credit_by_kind": {},
                    "reqs": 5,
                    "spread_ms": {"p50": 10, "p99": 20, "max": 5000 if n == 0 else 20},
                },
                None,
                1.0,
            )
        (
            first,
            *_,
        ) = report.page(self.told, results).split("\n")
        self.assertIn("BREAK A RULE (drain)", first)
        self.assertIn("heavy tail", report.page(self.told, results))

    def test_another_experiment_is_not_mixed_in(self):
        self.results()
        other = experiment.read(TEXT.replace("Small", "Other"))
        results = Results(self.path)
        self.addCleanup(results.db.close)
        with self.assertRaises(ValueError):
            results.begin(other, "", "now")
        with self.assertRaises(sqlite3.OperationalError):
            Results(self.path.parent)

    def test_bad_experiments_name_the_line(self):
        for old, new, word in (
            ('policy="even"', 'policy="best"', "best"),
            ("$n proxies", "$m proxies", "'m'"),
            ("load 20/s", "lead 20/s", "can't be read"),
            ("</about>", "", "not well-formed"),
            ('<seeds to="2"/>', "", "Missing child"),
        ):
            with self.subTest(new=new), self.assertRaises(experiment.ExperimentError) as caught:
                experiment.read(TEXT.replace(old, new), "x.xml")
            self.assertIn("x.xml:", str(caught.exception))
            self.assertIn(word, str(caught.exception))

    def test_every_baseline_serves(self):
        for name in policies.POLICIES:
            told = experiment.read(
                TEXT.replace('policy="even"', f'policy="{name}"').replace('name="even"', 'name="it"')
            )
            found, error, _ = run.run_in_process(
                told, next(r for r in told.runs() if r.arm == "it" and r.levels == (("n", "10"),))
            )
            self.assertIsNone(error)
            self.assertGreater(found["credit"], 0.95, name)


class Hunt(unittest.TestCase):
    def test_finds_what_a_sabotaged_controller_breaks_and_cuts_the_day_down(self):
        found = hunt.hunt(["pushed"], 8, seed=3, core=sabotage.DropsRemovals)
        self.assertTrue(found)
        text, result = found[0]
        self.assertFalse(result.kept)
        self.assertLessEqual(sum(row.startswith("at ") for row in text.splitlines()), 2)


if __name__ == "__main__":
    unittest.main()
