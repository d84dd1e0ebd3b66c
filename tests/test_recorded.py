"""The module on recorded streams of events: a change that must decide nothing else gives the same orders to
the byte. Where decisions are changed on purpose, the streams are recorded anew (python -m
embertray.experiments.measure.recorded record)."""

import tomllib
import unittest
from pathlib import Path
from unittest import mock

from embertray.experiments.measure.recorded import digest, load
from embertray.policy import constants

STREAMS = Path(__file__).resolve().parent / "streams"


class Policy(unittest.TestCase):
    def test_the_decision_files_keep_their_limits(self):
        root = Path(__file__).resolve().parent.parent
        files = tomllib.loads((root / "deploy" / "balancer.toml").read_text())["policy"]
        self.assertEqual(
            sorted(files),
            sorted(
                str(path.relative_to(root))
                for path in (root / "embertray" / "policy").glob("*.py")
                if path.name != "interface.py"
            ),
        )
        rows = [row for name in files for row in (root / name).read_text().splitlines()]
        self.assertLessEqual(sum(bool(row.strip()) for row in rows), 630)
        self.assertLessEqual(max(map(len, rows)), 110)


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
                mock.patch.object(constants, "MOVE", 0.21),
                mock.patch.object(constants, "LEVEL_MOVE", 0.09),
                mock.patch.object(constants, "TRICKLE", 0.07),
            ):
                self.assertNotEqual(digest(stream["rows"]), stream["digest"])


if __name__ == "__main__":
    unittest.main()
