"""Runs all tests and judges them by KNOWN-RED.txt at the root.

Called as `python tests/run.py [arguments of unittest discover]`; bin/test does so.

KNOWN-RED.txt lists what fails for a real fault that could not be mended yet. An entry is a block of lines
`field: value`; blank lines stand between entries, and lines that begin with # are comments:

    test: test_module.Class.test_name     (of a case by hand: any name)
    when: always | intermittent | by hand
    command: what shows it
    seed: what it was seen with, or none
    seen: what was seen
    issue: its number

`always`: the test fails each time, so the run fails when it passes: the entry is stale, and has to go.
`intermittent`: the test may pass. `by hand`: a case that is no test of CI; it is printed and nothing else.
The run fails on any failure that is not listed, on a malformed entry, on an entry whose test passes though it
is to fail always, on one whose test a complete run does not have, and on a case by hand that is a test here.
"""

import sys
import unittest
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FILE_NAME = "KNOWN-RED.txt"


class When(Enum):
    """When the case of an entry fails."""

    ALWAYS = "always"
    INTERMITTENT = "intermittent"
    BY_HAND = "by hand"


@dataclass(frozen=True)
class Entry:
    """One known failure; the field names are those of the file."""

    test: str
    when: When
    command: str
    seed: str
    seen: str
    issue: int

    def __str__(self):
        """One line for the end of a run."""
        return f"{self.test} (issue {self.issue}, {self.command}, seed {self.seed}): {self.seen}"


FIELDS = tuple(Entry.__dataclass_fields__)


class MalformedEntryError(ValueError):
    """A block of KNOWN-RED.txt is no entry; says which line or field is wrong."""


@dataclass
class Outcome:
    """What ran, by the ids of the tests. `complete`: all tests were asked for."""

    started: set = field(default_factory=set)
    passed: set = field(default_factory=set)
    failed: set = field(default_factory=set)
    complete: bool = False


@dataclass
class Verdict:
    """`reasons`: why the run fails, a line each; `notes`: a line for each entry that matters to this run."""

    reasons: list = field(default_factory=list)
    notes: list = field(default_factory=list)


class RecordingResult(unittest.TextTestResult):
    """Also keeps which tests started and which passed."""

    def __init__(self, *arguments, **options):
        """Takes what TextTestResult takes."""
        super().__init__(*arguments, **options)
        self.started = set()
        self.passed = set()

    def startTest(self, test):  # noqa: N802 - a name of unittest
        """A test begins; also one that is skipped."""
        super().startTest(test)
        self.started.add(test.id())

    def addSuccess(self, test):  # noqa: N802 - a name of unittest
        """A test passed."""
        super().addSuccess(test)
        self.passed.add(test.id())

    def outcome(self, complete):
        """The Outcome of all tests that ran."""
        failed = [test for test, _ in self.failures + self.errors] + self.unexpectedSuccesses
        return Outcome(self.started, self.passed, {test_id(test) for test in failed}, complete)


def test_id(test):
    """The id of a test, or of the one whose sub-test it is."""
    return getattr(test, "test_case", test).id()


def parse_entry(lines):
    """The Entry of a block of lines. Raises MalformedEntryError."""
    values = {}
    for line in lines:
        name, colon, value = (part.strip() for part in line.partition(":"))
        if not colon or not value or name not in FIELDS:
            raise MalformedEntryError(f"'{line}' is no 'field: value' of {', '.join(FIELDS)}")
        if name in values:
            raise MalformedEntryError(f"'{line}' gives the field {name} twice")
        values[name] = value
    if missing := [name for name in FIELDS if name not in values]:
        raise MalformedEntryError(f"the entry of '{lines[0]}' has no {', '.join(missing)}")
    try:
        values["when"] = When(values["when"])
    except ValueError:
        wanted = ", ".join(when.value for when in When)
        raise MalformedEntryError(f"'when: {values['when']}' is none of {wanted}") from None
    if not values["issue"].isdecimal():
        raise MalformedEntryError(f"'issue: {values['issue']}' is no number")
    return Entry(**{**values, "issue": int(values["issue"])})


def parse(text):
    """The entries of a file's text, and a line for each block that is none."""
    entries = []
    malformed = []
    lines = [line.strip() for line in text.splitlines() if not line.lstrip().startswith("#")]
    for block in "\n".join(lines).split("\n\n"):
        if not block.strip():
            continue
        try:
            entry = parse_entry(block.strip().split("\n"))
        except MalformedEntryError as error:
            malformed.append(f"{FILE_NAME}: {error}")
            continue
        if any(other.test == entry.test for other in entries):
            malformed.append(f"{FILE_NAME}: two entries of {entry.test}")
        entries.append(entry)
    return entries, malformed


def judge(text, outcome):
    """The Verdict on an Outcome by a file's text."""
    entries, malformed = parse(text)
    verdict = Verdict(reasons=malformed)
    for entry in entries:
        judge_entry(entry, outcome, verdict)
    listed = {entry.test for entry in entries if entry.when is not When.BY_HAND}
    verdict.reasons += [f"failed: {test}" for test in sorted(outcome.failed - listed)]
    return verdict


def judge_entry(entry, outcome, verdict):
    """Adds to a Verdict what one entry means for an Outcome."""
    ran = entry.test in outcome.started
    if entry.when is When.BY_HAND:
        verdict.notes.append(f"known red, by hand, not played here: {entry}")
        if ran:
            verdict.reasons.append(f"{FILE_NAME} lists {entry.test} as a case by hand, but it is a test")
    elif entry.test in outcome.failed:
        verdict.notes.append(f"known red, {entry.when.value}, failed: {entry}")
    elif ran and entry.when is When.INTERMITTENT:
        verdict.notes.append(f"known red, {entry.when.value}, did not fail this time: {entry}")
    elif entry.test in outcome.passed:
        verdict.reasons.append(f"{FILE_NAME} lists {entry.test}, which passes")
    elif outcome.complete and not ran:
        verdict.reasons.append(f"{FILE_NAME} lists {entry.test}, which is no test")


def main(arguments):
    """Runs the tests and prints the verdict; returns the exit code."""
    sys.path.insert(0, str(ROOT))
    result = unittest.main(
        module=None,
        argv=["bin/test", "discover", "-s", str(ROOT / "tests"), *arguments],
        testRunner=unittest.TextTestRunner(resultclass=RecordingResult),
        exit=False,
    ).result
    outcome = result.outcome(complete=not arguments)
    known_red = ROOT / FILE_NAME
    verdict = judge(known_red.read_text() if known_red.exists() else "", outcome)
    if not result.testsRun:
        verdict.reasons.append("no test ran")
    for line in verdict.reasons + verdict.notes:
        print(line)
    failed = len(outcome.failed)
    print(f"{result.testsRun - failed} passed, {failed} failed", flush=True)
    return 1 if verdict.reasons else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
