"""Tests of the policy on recorded event streams, and of its imports and constants.

A change that is not meant to alter decisions must give the same orders, byte for byte. Where decisions are
changed on purpose, record the streams again (python -m embertray.experiments.measure.recorded record).
"""

import ast
import tomllib
import unittest
from pathlib import Path
from unittest import mock

from embertray.experiments.measure.recorded import digest, load
from embertray.policy import learned_weights, load_shedding, outlier_detection, table_writer

STREAMS = Path(__file__).resolve().parent / "streams"


ROOT = Path(__file__).resolve().parent.parent
POLICY = ROOT / "embertray" / "policy"
# standard library modules that the policy may use: none reads a clock, file, socket or source of randomness
STANDARD_MODULES = {"collections", "dataclasses", "statistics", "typing", "zlib"}


class Policy(unittest.TestCase):
    def test_the_deploy_file_lists_every_decision_file(self):
        files = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
        decisions = [path for path in POLICY.glob("*.py") if path.name != "interface.py"]
        self.assertEqual(sorted(files), sorted(str(path.relative_to(ROOT)) for path in decisions))

    def test_the_decisions_do_no_io_and_keep_the_width(self):
        for path in sorted(POLICY.rglob("*.py")):
            with self.subTest(str(path.relative_to(POLICY))):
                text = path.read_text()
                self.assertLessEqual(max(map(len, text.splitlines())), 110)
                for node in ast.walk(ast.parse(text)):
                    if isinstance(node, ast.Import):
                        self.assertLessEqual({name.name for name in node.names}, STANDARD_MODULES)
                    elif isinstance(node, ast.ImportFrom) and not node.level:
                        is_own = node.module.startswith("embertray.policy.")
                        self.assertTrue(is_own or node.module in STANDARD_MODULES, node.module)
                    elif isinstance(node, ast.ImportFrom):
                        depth = len(path.relative_to(POLICY).parts)
                        self.assertLessEqual(node.level, depth, "an import from outside the policy")

    def test_the_interface_and_the_records_hold_no_tuned_value(self):
        """Guards against tuning constants there; their only module-level constant is a unit of time."""
        for path in sorted([POLICY / "interface.py", *(POLICY / "records").glob("*.py")]):
            for node in ast.parse(path.read_text()).body:
                if isinstance(node, ast.Assign):
                    with self.subTest(f"{path.name}:{node.lineno}"):
                        self.assertEqual([target.id for target in node.targets], ["SECOND"])


class Recorded(unittest.TestCase):
    def test_orders_are_the_recorded_ones(self):
        steps = 0
        for path in sorted(STREAMS.glob("*.zst")):
            for number, stream in enumerate(load(path)["streams"]):
                with self.subTest(f"{path.stem} {number}"):
                    self.assertEqual(digest(stream["rows"]), stream["digest"])
                steps += len(stream["rows"])
        self.assertGreater(steps, 3000)

    def test_another_constant_is_noticed_in_each_file(self):
        for path in sorted(STREAMS.glob("*.zst")):
            stream = load(path)["streams"][0]
            with (
                self.subTest(path.stem),
                mock.patch.object(learned_weights, "MOVE_THRESHOLD", 0.21),
                mock.patch.object(table_writer, "MOVE_THRESHOLD", 0.21),
                mock.patch.object(load_shedding, "LEVEL_CHANGE_MIN", 0.09),
                mock.patch.object(outlier_detection, "HEALTH_MIN", 0.07),
            ):
                self.assertNotEqual(digest(stream["rows"]), stream["digest"])


if __name__ == "__main__":
    unittest.main()
