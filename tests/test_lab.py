"""Tests of the lab and the emulator's engine: queueing theory, resumed experiments, failed runs, reports."""

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


class QueueingTheoryTest(unittest.TestCase):
    """Simulated waits agree with queueing theory within the confidence interval of batch means."""

    def assert_mean_near(self, values, expected, tolerance=0.0):
        mean, half = batch_confidence_interval(values)
        self.assertLess(abs(mean - expected), half + tolerance, (mean, expected, half))
        self.assertLess(half, 0.3 * expected + 0.02)  # a wider interval would prove nothing

    def test_one_and_several_cores(self):
        for cores, load in ((1, 0.5), (1, 0.8), (4, 0.7)):
            self.assert_mean_near(
                simulate_waits(1, cores, load, 24_000, np.random.default_rng(cores)), erlang_c(cores, load)
            )

    def test_deterministic_service(self):
        self.assert_mean_near(
            simulate_waits(1, 1, 0.7, 24_000, np.random.default_rng(2), "fixed"), md1_wait(0.7)
        )

    def test_processor_sharing_is_insensitive_to_the_service_distribution(self):
        for cores, load, service in ((1, 0.6, "exp"), (1, 0.6, "fixed"), (4, 0.8, "fixed")):
            waits = simulate_waits(
                1, cores, load, 24_000, np.random.default_rng(cores), service, sharing=True
            )
            self.assert_mean_near(waits, processor_sharing_delay(cores, load))

    def test_shorter_of_two_queues(self):
        waits = simulate_waits(100, 1, 0.8, 24_000, np.random.default_rng(3), choices=2)
        # the formula is the limit for many queues; here are 100
        self.assert_mean_near(waits, power_of_choices_wait(0.8), tolerance=0.04)
        self.assertLess(
            waits.mean(), 0.5 * simulate_waits(100, 1, 0.8, 24_000, np.random.default_rng(3)).mean()
        )

    def test_simultaneous_calls_run_in_scheduling_order_and_a_stuck_clock_is_an_error(self):
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


class LabTest(unittest.TestCase):
    def setUp(self):
        box = tempfile.TemporaryDirectory()
        self.addCleanup(box.cleanup)
        self.path = Path(box.name) / "r.sqlite"
        self.definition = experiment.read(TEXT)

    def results(self, path=None):
        results = Results(path or self.path)
        self.addCleanup(results.db.close)
        results.begin(self.definition, "abc", "now")
        return results

    def rows(self, results):
        return [{k: v for k, v in row.items() if k != "wall"} for row in results.rows()]

    def test_a_resumed_experiment_has_the_same_rows(self):
        uninterrupted, resumed = self.results(), self.results(self.path.with_name("half.sqlite"))
        run.run(self.definition, uninterrupted, jobs=4)
        for planned in list(self.definition.runs())[3:0:-1]:
            resumed.add(planned, *run.run_in_process(self.definition, planned))
        run.run(self.definition, resumed, jobs=1)
        self.assertEqual(len(self.rows(uninterrupted)), 8)
        self.assertEqual(self.rows(uninterrupted), self.rows(resumed))
        self.assertIn("| 3 |", report.page(self.definition, uninterrupted))
        self.assertIn("+0.0000", report.compare(uninterrupted, resumed))

    def test_a_run_that_hangs_or_dies_is_reported_and_its_cell_shows_no_mean(self):
        short_timeout = experiment.read(
            TEXT.replace('seconds="60"', 'seconds="1"').replace("for 3s", "for 900s")
        )
        results = Results(self.path)
        self.addCleanup(results.db.close)
        results.begin(short_timeout, "", "now")
        runs = list(short_timeout.runs())
        results.add(runs[0], *run.run_in_process(short_timeout, runs[0]))
        results.add(runs[2], {"broken": {}, "credit": 0.9, "credit_by_kind": {}, "reqs": 5}, None, 1.0)
        self.assertIn("hung", next(results.rows())["error"] or list(results.rows())[1]["error"])
        page = report.page(short_timeout, results)
        self.assertIn("1 runs died or hung", page)
        self.assertIn("1 of 2 died", page)
        self.assertIn("runs are missing", page)
        self.assertNotIn("0.900", page.split("Worst")[0])

    def test_a_rule_broken_in_one_run_is_on_the_first_line(self):
        results = self.results()
        for n, planned in enumerate(self.definition.runs()):
            broken = {"drain": ["at 3 s"]} if n == 4 else {}
            results.add(
                planned,
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
        ) = report.page(self.definition, results).split("\n")
        self.assertIn("BREAK A RULE (drain)", first)
        self.assertIn("heavy tail", report.page(self.definition, results))

    def test_a_results_file_rejects_another_experiment(self):
        self.results()
        other = experiment.read(TEXT.replace("Small", "Other"))
        results = Results(self.path)
        self.addCleanup(results.db.close)
        with self.assertRaises(ValueError):
            results.begin(other, "", "now")
        with self.assertRaises(sqlite3.OperationalError):
            Results(self.path.parent)

    def test_errors_of_invalid_experiments_name_the_line(self):
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

    def test_every_policy_serves_requests(self):
        for name in policies.POLICIES:
            definition = experiment.read(
                TEXT.replace('policy="even"', f'policy="{name}"').replace('name="even"', 'name="it"')
            )
            result, error, _ = run.run_in_process(
                definition, next(r for r in definition.runs() if r.arm == "it" and r.levels == (("n", "10"),))
            )
            self.assertIsNone(error)
            self.assertGreater(result["credit"], 0.95, name)


class HuntTest(unittest.TestCase):
    def test_finds_and_minimizes_a_day_on_which_a_sabotaged_controller_breaks_a_rule(self):
        findings = hunt.hunt(["pushed"], 8, seed=3, core=sabotage.DropsRemovals)
        self.assertTrue(findings)
        text, result = findings[0]
        self.assertFalse(result.kept)
        self.assertLessEqual(sum(row.startswith("at ") for row in text.splitlines()), 2)


if __name__ == "__main__":
    unittest.main()
