"""Tests of the policy on all scenes of tests/scenes, and of the adapter as a process."""

import subprocess
import sys
import unittest
from pathlib import Path

from stage import play

HERE = Path(__file__).resolve().parent
START = (
    "SYNC t-us=5000000 batch=1\nFOR who=0\nENLIST salt=7 balancers=1 discovery=push new-key=x "
    "profiles.count=1 "
    "profiles.0.name=view profiles.0.aim-us=800000 profiles.0.deadline-us=2000000 "
    "profiles.0.effect=read_like "
    "specifics.channel-rate=1000 specifics.pending-max=1000 specifics.head=4 specifics.throttle-by=share "
    "zones=a az=a\nDIRECTORY_UPDATE epoch=1 kind=2 rows-in=1\n"
    "ITEM backend=10.0.0.1:5000 health=2 rack-zone=a\n"
)


def run_adapter(text):
    return subprocess.run(
        [sys.executable, "-m", "embertray.benchlink"],
        input=text,
        text=True,
        timeout=60,
        capture_output=True,
        cwd=HERE.parent,
    )


class Scenes(unittest.TestCase):
    pass


def scene(path):
    return lambda self: play(path) and None


for found in sorted((HERE / "scenes").glob("*.scene")):
    setattr(Scenes, "test_" + found.stem, scene(found))


class Adapter(unittest.TestCase):
    def test_a_batch_through_the_started_adapter(self):
        process = run_adapter(START + "STREAM_UP proxy=3 rack-zone=a share=2 set=1\nNEW_EVENT a=1\nFLUSH\n")
        self.assertEqual((process.returncode, process.stderr), (0, ""))
        lines = process.stdout.splitlines()
        self.assertEqual((lines[0], lines[-1]), ("FROM who=0", "DONE batch=1"))
        self.assertIn("ENDPOINT share=1 route-table=1 backend=10.0.0.1:5000", lines)
        self.assertIn("POINT proxy=3 route-table=1 lanes=0", lines)
        self.assertIn("CHECKPOINT set=0 epoch=1", lines)

    def test_instances_are_isolated_and_deterministic(self):
        join = "STREAM_UP proxy=3 rack-zone=a share=2 set=1\n"
        output = run_adapter(
            START + join + START.split("\n", 1)[1].replace("who=0", "who=1") + join + "FLUSH\n"
        )
        first, second = output.stdout.split("FROM who=1\n")
        self.assertEqual(first.replace("FROM who=0\n", ""), second.replace("DONE batch=1\n", ""))

    def test_a_malformed_line_ends_the_adapter_with_one_message(self):
        for text, words in (
            (START + "STREAM_UP proxy=x rack-zone=a\n", ("line 6", "'x'", "proxy")),
            (START + "DETACHED\n", ("line 6", "proxy is missing")),
            (START.replace("rows-in=1", "rows-in=2") + "FLUSH\n", ("line 6", "1 entries short")),
            ("FOR who=0\n", ("line 1", "before SYNC")),
        ):
            process = run_adapter(text)
            self.assertNotEqual(process.returncode, 0)
            self.assertEqual((process.stdout, process.stderr.count("\n")), ("", 1))
            for word in words:
                self.assertIn(word, process.stderr)


if __name__ == "__main__":
    unittest.main()
