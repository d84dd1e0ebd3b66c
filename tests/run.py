"""Runs all tests and judges them by KNOWN-RED.txt at the root: `python tests/run.py [arguments of unittest
discover]`.

A line there is 'test, cause, issue': a test that fails for a real fault that could not be mended in its
sitting. The run fails on any other failure, on a fourth line, on a line that is none, and on a listed test
that passes.
"""

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LINES_MOST = 3


class Kept(unittest.TextTestResult):
    """Keeps who passed, too."""

    def __init__(self, *given, **named):
        super().__init__(*given, **named)
        self.passed = []

    def addSuccess(self, test):
        super().addSuccess(test)
        self.passed.append(test.id())


def named(test):
    """The id of a test, or of the one whose sub-test it is."""
    return getattr(test, "test_case", test).id()


def judge(text, passed, failed):
    """(known, wrong): the failed tests that KNOWN-RED.txt lists, and why the run fails, a line each."""
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    known, wrong = {}, []
    for line in lines:
        parts = [part.strip() for part in line.split(",", 1)]
        if len(parts) < 2 or "," not in parts[1] or not all(parts):
            wrong.append(f"KNOWN-RED.txt: '{line}' is no 'test, cause, issue'")
        else:
            known[parts[0]] = line
    if len(lines) > LINES_MOST:
        wrong.append(f"KNOWN-RED.txt: {len(lines)} lines, {LINES_MOST} at most")
    wrong += [
        f"KNOWN-RED.txt lists {test}, which passes" for test in known if test in passed and test not in failed
    ]
    wrong += [f"failed: {test}" for test in sorted(set(failed) - set(known))]
    return [line for test, line in known.items() if test in failed], wrong


def main(arguments):
    sys.path.insert(0, str(ROOT))
    runner = unittest.TextTestRunner(resultclass=Kept)
    result = unittest.main(
        module=None,
        argv=["bin/test", "discover", "-s", str(ROOT / "tests"), *arguments],
        testRunner=runner,
        exit=False,
    ).result
    failed = {named(test) for test, _ in result.failures + result.errors} | {
        named(test) for test in result.unexpectedSuccesses
    }
    red = ROOT / "KNOWN-RED.txt"
    known, wrong = judge(red.read_text() if red.exists() else "", set(result.passed), failed)
    if not result.testsRun:
        wrong.append("no test ran")
    for line in wrong:
        print(line)
    for line in known:
        print(f"known red: {line}")
    print(f"{result.testsRun - len(failed)} passed, {len(failed)} failed", flush=True)
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
