"""Tests of `embertray capacity`: fits, slopes, targets, verdicts, tables and docs/CAPACITY.md."""

import io
import json
import re
import tempfile
import unittest
from contextlib import redirect_stdout
from itertools import product
from math import inf, log
from pathlib import Path

import msgspec
import structlog
from click.testing import CliRunner

from embertray.cli.main import main
from embertray.experiments.capacity import formulas, page
from embertray.experiments.capacity.figure import Slopes, calculated, derived, unknown
from embertray.experiments.capacity.fit import fit
from embertray.experiments.capacity.names import (
    Design,
    Origin,
    Part,
    Quantity,
    Reading,
    Role,
    Situation,
    Verdict,
)
from embertray.experiments.capacity.row import Row, judge
from embertray.experiments.capacity.size_limits import MAX_SIZE, largest_within, size_limits
from embertray.experiments.capacity.slope import Slope, SlopeError, load_all, save
from embertray.experiments.capacity.table import FAILURES, STEADY, compute, vary_assumptions
from embertray.experiments.capacity.target import OPERATORS, TargetError, load
from embertray.experiments.measure.capacity import decisions, entries, picks
from embertray.experiments.measure.capacity.record import Recording

ROOT = Path(__file__).resolve().parent.parent
SLOPES = ROOT / "docs" / "measured" / "capacity"
SIZES = (17, 68, 250, 1000, 4000)


def slope(name, points, **other):
    facts = dict(unit="bytes/s", n="members", command="c", commit="abc", machine="m", date="2026-12-02")
    return Slope(name=name, points=points, **(facts | other))


def run(*arguments):
    """Runs the command and returns its result.

    Logging is reset, because the command makes it write to the runner's standard error, which is closed at
    the end and would fail later tests.
    """
    try:
        return CliRunner().invoke(main, ["capacity", *map(str, arguments)])
    finally:
        structlog.reset_defaults()


class Fits(unittest.TestCase):
    def test_the_law_of_generated_points_is_found_and_predicts_the_held_out_size(self):
        laws = {"n": lambda n: n, "n log n": lambda n: n * log(n), "n^2": lambda n: n * n}
        for growth, grow in laws.items():
            for base, factor in ((0.0, 3.0), (500.0, 0.25), (1e-3, 1e-5)):
                with self.subTest(growth, base=base):
                    found = fit([(n, base + factor * grow(n)) for n in SIZES])
                    self.assertEqual(found.law.growth, growth)
                    self.assertAlmostEqual(found.law.factor / factor, 1, 6)
                    self.assertLess(found.residual, 1e-6)
                    self.assertLess(found.held_out.error, 1e-6)
                    self.assertEqual(found.held_out.size, 4000)

    def test_an_exact_line_has_no_rounding_noise(self):
        """Floating-point least squares left different rounding noise on two machines: 1e-15 and 5e-15."""
        exact = fit([(n, n) for n in SIZES]).law
        constant = fit([(n, 77.0) for n in SIZES]).law
        self.assertEqual((exact.base, exact.factor), (0.0, 1.0))
        self.assertEqual((constant.base, constant.factor), (77.0, 0.0))

    def test_the_largest_size_does_not_affect_the_law(self):
        points = [(n, 2.0 * n) for n in SIZES[:-1]]
        straight, bent = fit([*points, (4000, 8000.0)]), fit([*points, (4000, 80_000.0)])
        self.assertEqual(straight.law, bent.law)
        self.assertAlmostEqual(bent.held_out.error, 0.9, 6)
        self.assertGreater(bent.held_out.error, straight.held_out.error)

    def test_every_growth_has_a_residual_and_the_least_is_chosen(self):
        found = fit([(n, 5.0 + n * n * (1 + (-1) ** k / 50)) for k, n in enumerate(SIZES)])
        self.assertEqual(set(found.residuals), {"n", "n log n", "n^2"})
        self.assertEqual(found.residual, min(found.residuals.values()))
        self.assertEqual(found.law.growth, "n^2")

    def test_constant_values_give_a_constant(self):
        found = fit([(n, 77.0) for n in SIZES])
        self.assertAlmostEqual(found.at(10**6), 77.0, 6)

    def test_an_error_relative_to_0_is_infinite_and_null_in_json(self):
        made = {"s": slope("s", [(1, 30.0), (2, 20.0), (3, 10.0), (4, 0.0), (5, 0.0)])}
        self.assertEqual(fit(made["s"].medians()).held_out.error, inf)
        with tempfile.TemporaryDirectory() as folder:
            save(folder, made["s"])
            found = json.loads(run("--json", "--slopes", folder).output)
            self.assertIsNone(found["slopes"][0]["held_out"]["error"])
            self.assertTrue("more than can be told of 0" in run("--page", "--slopes", folder).output)

    def test_a_fit_of_three_sizes_is_a_guess_of_four_is_not(self):
        self.assertTrue(fit([(n, n) for n in SIZES[:3]]).is_guess)
        self.assertFalse(fit([(n, n) for n in SIZES[:4]]).is_guess)
        self.assertEqual(fit([(470, 426.0)]).at(470), 426.0)

    def test_repeated_sizes_are_merged_by_their_median(self):
        self.assertEqual(slope("s", [(8, 9.0), (8, 1.0), (2, 4.0), (8, 2.0)]).medians(), [(2, 4.0), (8, 2.0)])


class Files(unittest.TestCase):
    def test_a_saved_slope_can_be_loaded(self):
        with tempfile.TemporaryDirectory() as folder:
            made = slope("one", [(8, 1.5), (32, 3e-7)], origin="reported", note='a "note"')
            save(folder, made)
            self.assertEqual(load_all(folder), {"one": made})

    def test_invalid_slope_files_are_rejected_by_name(self):
        good = msgspec.to_builtins(slope("bad", [(8, 1.0)]))
        for what, text, expected_text in (
            ("no JSON", "{", "truncated"),
            ("another name", json.dumps(good | {"name": "other"}), "not that of the file"),
            ("no points", json.dumps(good | {"points": []}), "length"),
            ("a size of 0", json.dumps(good | {"points": [[0, 1]]}), "> 0"),
            ("a text as value", json.dumps(good | {"points": [[1, "x"]]}), "float"),
            ("an unknown key", json.dumps(good | {"extra": 1}), "extra"),
            ("no command", json.dumps({k: v for k, v in good.items() if k != "command"}), "command"),
            ("another origin", json.dumps(good | {"origin": "guessed"}), "guessed"),
        ):
            with self.subTest(what), tempfile.TemporaryDirectory() as folder:
                Path(folder, "bad.json").write_text(text)
                with self.assertRaises(SlopeError) as caught:
                    load_all(folder)
                self.assertIn("bad.json", str(caught.exception))
                self.assertIn(expected_text, str(caught.exception))
                result = run("--slopes", folder)
                self.assertEqual(result.exit_code, 2)
                self.assertEqual(result.output.count("\n"), 1)

    def test_slopes_on_the_page_have_four_sizes_or_are_shown_as_guesses(self):
        by_name = load_all(SLOPES)
        text = (ROOT / "docs" / "CAPACITY.md").read_text().split("\n## Slopes\n")[1]
        for name, one in by_name.items():
            with self.subTest(name):
                row = next(line for line in text.splitlines() if line.startswith(f"| `{name}`"))
                self.assertEqual("**a guess**" in row, len(one.medians()) < 4)
                self.assertIn(one.command, row)
                self.assertIn(one.commit, row)


class Figures(unittest.TestCase):
    def test_origins_of_figures(self):
        straight = [(n, 2.0 * n) for n in SIZES]
        slopes = Slopes(
            {
                "measured": slope("measured", straight),
                "guess": slope("guess", straight[:2]),
                "reported-taken": slope("reported-taken", straight, origin="reported"),
            }
        )
        for name, size, value, origin in (
            ("measured", 4000, 8000, Origin.MEASURED),
            ("measured", 470, 940, Origin.PREDICTED),
            ("measured", 8000, 16000, Origin.PREDICTED),
            ("guess", 68, 136, Origin.MEASURED),
            ("guess", 470, 940, Origin.GUESS),
            ("taken", 4000, 8000, Origin.REPORTED),
            ("taken", 470, 940, Origin.REPORTED),
            ("none", 470, None, Origin.UNKNOWN),
        ):
            with self.subTest(name, size=size):
                found = slopes.at(name, size)
                self.assertEqual(found.origin, origin)
                self.assertEqual(
                    found.error is None,
                    origin in (Origin.MEASURED, Origin.GUESS) or size == 4000 or value is None,
                )
                if value is None:
                    self.assertIsNone(found.value)
                else:
                    self.assertAlmostEqual(found.value, value, 6)

    def test_a_measured_slope_is_preferred_to_a_reported_one(self):
        both = {
            "cluster-oldest": slope("cluster-oldest", [(470, 5.0)]),
            "reported-cluster-oldest": slope("reported-cluster-oldest", [(470, 11.4)], origin="reported"),
        }
        self.assertEqual(Slopes(both).at("cluster-oldest", 470).value, 5.0)

    def test_predictions_are_never_negative(self):
        falling = Slopes({"s": slope("s", [(1, 30.0), (2, 20.0), (3, 10.0), (4, 0.1)])})
        self.assertEqual(falling.at("s", 100).value, 0.0)

    def test_a_figure_derived_from_an_unknown_one_is_unknown_and_names_it(self):
        found = derived("a + b", lambda a, b: a + b, calculated("1", 1), unknown("no slope b"))
        self.assertEqual((found.value, found.origin, found.source), (None, Origin.UNKNOWN, "no slope b"))


class Verdicts(unittest.TestCase):
    def test_verdicts_by_budget(self):
        for value, budget, at_least, verdict, factor in (
            (4000, 4000, False, Verdict.FITS, 1.0),
            (4001, 4000, False, Verdict.SHORT, 4001 / 4000),
            (92_000, 4000, False, Verdict.SHORT, 23.0),
            (0, 4000, False, Verdict.FITS, 0.0),
            (470, 470, True, Verdict.FITS, 1.0),
            (235, 470, True, Verdict.SHORT, 2.0),
            (0, 470, True, Verdict.SHORT, float("inf")),
            (None, 4000, False, Verdict.UNKNOWN, None),
            (5, None, False, Verdict.NO_BUDGET, None),
        ):
            with self.subTest(value=value, budget=budget):
                found = judge(value, budget, at_least)
                self.assertEqual((found.verdict, found.factor), (verdict, factor))

    def test_a_verdict_that_the_error_could_reverse_is_uncertain(self):
        for value, error, verdict, uncertain in (
            (90, 0.05, Verdict.FITS, False),
            (90, 0.2, Verdict.FITS, True),
            (110, 0.2, Verdict.SHORT, True),
            (110, 0.05, Verdict.SHORT, False),
            (110, None, Verdict.SHORT, False),
            (1000, 3.0, Verdict.SHORT, False),
            (100.00001, 0.0, Verdict.FITS, False),
        ):
            with self.subTest(value=value, error=error):
                found = judge(value, 100, error=error)
                self.assertEqual((found.verdict, found.uncertain), (verdict, uncertain))

    def test_the_worst_10_s_decide_if_they_are_known(self):
        def row(mean, worst):
            return Row(
                Role.CONTROLLER,
                Part.STREAMS,
                Situation.PEAK,
                Quantity.BYTES_OUT,
                mean,
                "",
                4000,
                worst=worst,
            )

        within, over = calculated("", 100), calculated("", 8000)
        self.assertEqual(row(within, over).judgement.factor, 2.0)
        self.assertEqual(row(within, None).judgement.verdict, Verdict.FITS)
        self.assertEqual(row(within, unknown("")).judgement.verdict, Verdict.FITS)
        self.assertEqual(row(unknown(""), within).judgement.verdict, Verdict.UNKNOWN)

    def test_a_total_with_missing_parts_never_fits(self):
        table = compute(load(), {})
        for total in table.totals:
            self.assertTrue(total.missing)
            self.assertIn(total.judgement.verdict, (Verdict.UNKNOWN, Verdict.SHORT))

    def test_rows_without_their_slope_have_no_verdict(self):
        for row in compute(load(), {}).rows:
            if row.figure.origin not in (Origin.CALCULATED, Origin.NO_MECHANISM):
                self.assertIsNone(row.figure.value)
                self.assertIn(row.judgement.verdict, (Verdict.UNKNOWN, Verdict.NO_BUDGET))


class Tables(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.by_name = load_all(SLOPES)
        cls.table = compute(load(), cls.by_name)

    def test_every_role_part_and_situation_has_rows_with_mechanism_and_source(self):
        rows = self.table.rows
        self.assertEqual({row.role for row in rows}, set(Role))
        self.assertEqual({row.situation for row in rows}, set(Situation))
        self.assertEqual({row.part for row in rows}, set(Part))
        for row in rows:
            self.assertTrue(row.mechanism)
            self.assertTrue(row.figure.source)

    def test_the_largest_factors_are_sorted_and_list_each_part_once(self):
        for design, reading, situations in product(Design, Reading, (STEADY, FAILURES)):
            with self.subTest(design=design, reading=reading):
                rows = self.table.largest(reading, design, situations)
                self.assertTrue(all(row.situation in situations for row in rows))
                factors = [row.judgement.factor for row in rows]
                self.assertEqual(factors, sorted(factors, reverse=True))
                self.assertEqual(len({(row.role, row.part, row.unit) for row in rows}), len(rows))
                self.assertTrue(all(reading in row.readings and design in row.designs for row in rows))

    def test_the_wider_reading_never_costs_less(self):
        by = {(t.design, t.reading, t.quantity): t.known for t in self.table.totals}
        for (design, reading, quantity), known in by.items():
            if reading is Reading.CLUSTER:
                self.assertLessEqual(known, by[design, Reading.ALL, quantity])

    def test_control_plane_slopes_are_used_when_they_exist(self):
        names = {
            "control-subscriber-bytes-in": (Role.CONTROLLER, Quantity.BYTES_IN),
            "control-subscriber-bytes-out": (Role.CONTROLLER, Quantity.BYTES_OUT),
            "control-subscriber-oldest": (Role.CONTROLLER, Quantity.OLDEST),
            "control-subscriber-processor": (Role.CONTROLLER, Quantity.PROCESSOR),
            "control-subscriber-memory": (Role.CONTROLLER, Quantity.MEMORY),
            "control-time-to-all": (Role.CONTROLLER, Quantity.IN_FORCE),
            "control-replica-bytes-in": (Role.REPLICA, Quantity.BYTES_IN),
            "control-replica-bytes-out": (Role.REPLICA, Quantity.BYTES_OUT),
            "control-replica-processor": (Role.REPLICA, Quantity.PROCESSOR),
            "control-replica-memory": (Role.REPLICA, Quantity.MEMORY),
        }
        given = {name: slope(name, [(n, 1e-6 * n) for n in (30, 60, 120, 240)]) for name in names}
        others = {name: one for name, one in self.by_name.items() if name not in names}
        rows = compute(load(), others | given).rows
        for name, (role, quantity) in names.items():
            with self.subTest(name):
                (row,) = [row for row in rows if row.figure.slopes == (name,)]
                self.assertEqual((row.role, row.quantity), (role, quantity))
                self.assertEqual(row.figure.origin, Origin.PREDICTED)
                self.assertEqual(row.designs, (Design.REPLICAS,))

    def test_loopback_and_virtual_time_are_compared_at_common_sizes(self):
        both = {
            "cluster-oldest": slope("cluster-oldest", [(8, 3.0), (32, 6.0)]),
            "virtual-cluster-oldest": slope("virtual-cluster-oldest", [(8, 2.0), (64, 9.0)]),
        }
        rows = page.loopback_comparison(compute(load(), both)).splitlines()[2:]
        self.assertEqual(rows, ["| `cluster-oldest` | 8 | 3 | 2 | 1.50 |"])

    def test_a_slope_without_a_held_out_size_is_shown_as_a_guess(self):
        short = self.by_name | {
            "cluster-sent-bytes": slope("cluster-sent-bytes", [(n, 100.0 * n) for n in (8, 32, 64)])
        }
        table = compute(load(), short)
        (row,) = [
            row
            for row in table.rows
            if row.quantity is Quantity.BYTES_OUT and row.figure.slopes == ("cluster-sent-bytes",)
        ]
        self.assertEqual(row.figure.origin, Origin.GUESS)
        text = page.page(table, short)
        self.assertIn("`cluster-sent-bytes`, a guess: no held-out size", text)
        self.assertRegex(text, r"\| `cluster-sent-bytes` .*\*\*a guess\*\*")

    def test_each_assumption_is_varied_to_all_of_its_other_values(self):
        target = load()
        wanted = {(a.name, v) for a in target.assumptions for v in a.vary if v != a.value}
        found = {(one.name, value): table for one, value, table in vary_assumptions(target, self.by_name)}
        self.assertEqual(set(found), wanted)
        self.assertGreater(len(wanted), 10)
        self.assertEqual(found["proxies-per-backend", 2].target.proxies_per_controller, 17)
        self.assertEqual(found["proxies-per-backend", 32].target.proxies_per_controller, 272)

    def test_traffic_of_limits_grows_with_controllers_only_without_replicas(self):
        each = [formulas.limits_all_to_all(n, 68, 1).controller_out for n in (100, 200, 400)]
        self.assertGreater(each[1] / each[0], 2.2)
        self.assertGreater(each[2] / each[1], 2.5)
        through = [formulas.limits_through_replicas(n, 68, 1).controller_out for n in (100, 400)]
        self.assertEqual(through[0], through[1])


class Measurements(unittest.TestCase):
    """The measurements run at small sizes and count correctly; their times are not checked."""

    def test_the_policy_is_stepped_the_requested_number_of_times(self):
        for made in (decisions.AT_TARGET, decisions.SILENT, decisions.ALL_BACKENDS, decisions.WHOLE_TABLES):
            with self.subTest(made.name):
                cost = decisions.measure(5, 17, made, 2)
                self.assertEqual((cost.backends, cost.steps), (17, 20))

    def test_bytes_of_the_list_grow_with_its_entries_and_those_of_a_change_do_not(self):
        small, large = entries.measure(50), entries.measure(500)
        self.assertAlmostEqual(large["list-bytes"] / small["list-bytes"], 10, 0)
        self.assertEqual(large["change-bytes"], small["change-bytes"])
        self.assertGreater(large["list-memory"], 5 * small["list-memory"])

    def test_each_pick_algorithm_is_measured_the_requested_number_of_times(self):
        for way in ("weighted", "round", "two"):
            steady, changed = picks.measure(way, 17)
            self.assertEqual((len(steady), len(changed)), (picks.PICKS, picks.CHANGES))

    def test_recorded_slopes_can_be_loaded(self):
        with tempfile.TemporaryDirectory() as folder:
            recording = Recording("the command", folder)
            with redirect_stdout(io.StringIO()):
                recording.save("one", "s", "lines", [(8, 2.0), (4, 1.0), (8, 3.0)], "why")
            made = load_all(folder)["one"]
        self.assertEqual(made.points, [(4, 1.0), (8, 2.0), (8, 3.0)])
        self.assertEqual((made.command, made.origin), ("the command", "measured"))
        self.assertTrue(made.note.startswith("why; "))


class SizeLimits(unittest.TestCase):
    def test_the_largest_size_within_a_budget(self):
        for grows, budget, size in (
            (lambda n: 2 * n, 100, 50),
            (lambda n: 2 * n, 101, 50),
            (lambda n: n * n, 100, 10),
            (lambda n: 5 + n, 5, 0),
            (lambda n: 3, 5, MAX_SIZE),
        ):
            with self.subTest(size=size, budget=budget):
                self.assertEqual(largest_within(grows, budget), size)

    def test_a_size_within_the_budget_is_at_the_edge_of_it(self):
        target, slopes = load(), Slopes(load_all(SLOPES))
        found = {one.what: one for one in size_limits(target, slopes)}
        decisions_reach = found["decisions, the target's load"]
        law = slopes.fits["decisions-processor-68"].law
        self.assertLessEqual(law.at(decisions_reach.size), target.cores)
        self.assertGreater(law.at(decisions_reach.size + 1), target.cores)
        self.assertEqual(found["gossip, staleness promised"].size, 5)  # 2 x 4 + 3 = 11 s


# (description, change of the sample that makes it invalid, text in the error)
BAD_TARGETS = (
    ("not XML", lambda text: text[:200], "not well-formed"),
    ("another root", lambda text: text.replace("target", "goal"), "goal"),
    ("no fleet", lambda text: re.sub(r"<fleet.*?/>", "", text), "fleet"),
    ("no controllers", lambda text: re.sub(r' controllers="\d+"', "", text), "controllers"),
    ("0 controllers", lambda text: text.replace('controllers="470"', 'controllers="0"'), "controllers"),
    ("a text for a count", lambda text: text.replace('backends="4000"', 'backends="many"'), "many"),
    ("a time without unit", lambda text: text.replace('"12s"', '"12"'), "a time over 0 with a unit"),
    ("a time of 0", lambda text: text.replace('"12s"', '"0s"'), "a time over 0 is expected"),
    ("a size without unit", lambda text: text.replace('"256MB"', '"256"'), "a size over 0 with a unit"),
    ("no cores", lambda text: text.replace('cores="0.011"', 'cores="0"'), "cores"),
    ("fewer zones than regions", lambda text: text.replace('zones="19"', 'zones="5"'), "5 zones"),
    ("an unknown attribute", lambda text: text.replace("<fleet ", '<fleet racks="3" '), "racks"),
    ("an assumption twice", lambda text: text.replace('"limits"', '"facts-bytes"'), "facts-bytes"),
    (
        "an assumption that is missing",
        lambda text: re.sub(r'<assumption name="limits".*?/>', "", text, flags=re.S),
        "no assumption 'limits'",
    ),
    (
        "an assumption that nobody asks for",
        lambda text: text.replace(
            "</assumptions>", '<assumption name="luck" value="1" reason="none is needed"/></assumptions>'
        ),
        "'luck' is not asked for",
    ),
    ("an assumption without reason", lambda text: re.sub(r'reason="a request kind.*?"', "", text), "reason"),
    ("a variation that is no number", lambda text: text.replace('"2 8 32"', '"2 eight"'), "eight"),
    (
        "fewer proxies than controllers",
        lambda text: text.replace('backends="4000"', 'backends="50"'),
        "400 proxies are fewer than 470",
    ),
    (
        "an entity from outside",
        lambda text: text.replace(
            "<target ", '<!DOCTYPE target [<!ENTITY x SYSTEM "file:///etc/hostname">]>\n<target ', 1
        ).replace('name="operators"', 'name="&x;"'),
        "not well-formed",
    ),
)


class Targets(unittest.TestCase):
    def test_the_sample_is_the_operators_target(self):
        target = load()
        self.assertEqual(
            (target.controllers, target.backends, target.services, target.routes, target.tenants),
            (470, 4000, 240, 3600, 16000),
        )
        self.assertEqual((target.regions, target.zones, target.control_machines), (6, 19, 8))
        self.assertEqual((target.requests, target.changes_a_day, target.in_force_within), (32000, 1500, 12))
        self.assertEqual((target.cores, target.memory, target.bytes_a_second), (0.011, 256_000_000, 4000))
        self.assertAlmostEqual(target.added_at_p99, 0.0027)
        self.assertEqual(
            (target.machines_a_day, target.restarts_a_day, target.regions_apart), (22, 830, 3600)
        )
        self.assertEqual((target.proxies, target.proxies_per_controller), (32000, 68))
        self.assertEqual(target.requests_per_proxy, 1)

    def test_invalid_targets_give_one_error_line_and_exit_code_2(self):
        good = OPERATORS.read_text()
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "target.xml")
            for what, invalidate, expected_text in BAD_TARGETS:
                with self.subTest(what):
                    text = invalidate(good)
                    self.assertNotEqual(text, good)
                    path.write_text(text)
                    with self.assertRaises(TargetError) as caught:
                        load(path)
                    self.assertIn(expected_text, str(caught.exception))
                    self.assertIn("target.xml", str(caught.exception))
                    result = run(path)
                    self.assertEqual(result.exit_code, 2)
                    self.assertTrue(result.output.startswith("Error: "))
                    self.assertEqual(result.output.count("\n"), 1)

    def test_invalid_arguments_are_rejected(self):
        for arguments in (("nowhere.xml",), ("--slopes", "nowhere"), ("--json", "--page")):
            with self.subTest(arguments):
                result = run(*arguments)
                self.assertEqual(result.exit_code, 2)
                self.assertEqual(result.output.count("\n"), 1)

    def test_a_target_of_another_size(self):
        text = OPERATORS.read_text().replace('controllers="470"', 'controllers="40"')
        text = text.replace('backends="4000"', 'backends="400"').replace('"operators"', '"small"')
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "small.xml")
            path.write_text(text)
            found = json.loads(run(path, "--json").output)
        self.assertEqual(found["target"], "small")
        (row,) = [row for row in found["rows"] if row["quantity"] == Quantity.STALENESS]
        self.assertEqual((row["value"], row["verdict"]), (81.0, "falls short"))


class Page(unittest.TestCase):
    def test_the_page_is_what_the_command_prints(self):
        result = run("--page")
        self.assertEqual(result.exit_code, 0, result.output)
        written = (ROOT / "docs" / "CAPACITY.md").read_text()
        self.assertTrue(written == result.output, "bin/embertray capacity --page > docs/CAPACITY.md")
        self.assertIn(run().output, written)

    def test_a_changed_slope_changes_the_page(self):
        by_name = load_all(SLOPES)
        name = "decisions-processor-68"
        points = [(size, value * 2) for size, value in by_name[name].points]
        changed = by_name | {name: msgspec.structs.replace(by_name[name], points=points)}
        self.assertNotEqual(
            page.page(compute(load(), changed), changed), page.page(compute(load(), by_name), by_name)
        )

    def test_page_and_json_have_the_same_verdicts(self):
        found = json.loads(run("--json").output)
        table = compute(load(), load_all(SLOPES))
        self.assertEqual(
            [row["verdict"] for row in found["rows"]], [str(row.judgement.verdict) for row in table.rows]
        )
        self.assertEqual({slope["name"] for slope in found["slopes"]}, set(table.slopes.by_name))

    def test_the_page_has_both_readings_of_both_designs(self):
        text = (ROOT / "docs" / "CAPACITY.md").read_text()
        for design in Design:
            for reading in Reading:
                self.assertIn(f"### {str(design).capitalize()}; {reading}\n", text)


if __name__ == "__main__":
    unittest.main()
