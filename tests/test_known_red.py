"""How bin/test judges by KNOWN-RED.txt."""

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import run
from run import Outcome, judge

TEST = "test_x.X.test_a"
BLOCK = f"""test: {TEST}
when: always
command: bin/test -p test_x.py
seed: 7
seen: 3 of 4 plays end late
issue: 44
"""
INTERMITTENT = BLOCK.replace("always", "intermittent")
BY_HAND = BLOCK.replace("always", "by hand").replace(TEST, "a play at 60 nodes")
PRINTED = f"{TEST} (issue 44, bin/test -p test_x.py, seed 7): 3 of 4 plays end late"


def outcome(passed=(), failed=(), complete=False):
    """The Outcome of tests that ran to their end."""
    return Outcome({*passed, *failed}, set(passed), set(failed), complete)


class KnownRed(unittest.TestCase):
    def assert_judged(self, text, ran, reasons, notes):
        """Everything that the verdict holds."""
        verdict = judge(text, ran)
        self.assertEqual((verdict.reasons, verdict.notes), (reasons, notes))

    def assert_malformed(self, text, reason):
        """The run fails with this reason, though only the listed test failed."""
        reasons = judge(text, outcome(failed=[TEST])).reasons
        self.assertIn(f"KNOWN-RED.txt: {reason}", reasons)

    def test_only_listed_failures_are_passed_over(self):
        note = f"known red, always, failed: {PRINTED}"
        self.assert_judged("", outcome(passed=["a"]), [], [])
        self.assert_judged(BLOCK, outcome(passed=["b"], failed=[TEST]), [], [note])
        self.assert_judged(BLOCK, outcome(failed=[TEST, "c"]), ["failed: c"], [note])
        self.assert_judged("", outcome(failed=["c"]), ["failed: c"], [])

    def test_a_listed_test_that_passes_fails_the_run(self):
        reason = f"KNOWN-RED.txt lists {TEST}, which passes"
        self.assert_judged(BLOCK, outcome(passed=[TEST]), [reason], [])

    def test_a_listed_test_that_was_not_asked_for_does_not_fail_the_run(self):
        self.assert_judged(BLOCK, outcome(passed=["b"]), [], [])
        self.assert_judged(INTERMITTENT, outcome(passed=["b"]), [], [])

    def test_a_listed_test_that_a_complete_run_does_not_have_fails_it(self):
        for text in (BLOCK, INTERMITTENT):
            reason = f"KNOWN-RED.txt lists {TEST}, which is no test"
            self.assert_judged(text, outcome(passed=["b"], complete=True), [reason], [])

    def test_an_intermittent_one_may_pass_or_fail_and_is_printed(self):
        passed = f"known red, intermittent, did not fail this time: {PRINTED}"
        failed = f"known red, intermittent, failed: {PRINTED}"
        self.assert_judged(INTERMITTENT, outcome(passed=[TEST], complete=True), [], [passed])
        self.assert_judged(INTERMITTENT, outcome(failed=[TEST], complete=True), [], [failed])

    def test_a_case_by_hand_is_printed_and_passes_over_nothing(self):
        note = "known red, by hand, not played here: " + PRINTED.replace(TEST, "a play at 60 nodes")
        self.assert_judged(BY_HAND, outcome(passed=["b"], complete=True), [], [note])
        self.assert_judged(BY_HAND, outcome(failed=["b"]), ["failed: b"], [note])

    def test_a_test_listed_as_a_case_by_hand_fails_the_run(self):
        text = BLOCK.replace("always", "by hand")
        for ran in (outcome(passed=[TEST]), outcome(failed=[TEST])):
            reason = f"KNOWN-RED.txt lists {TEST} as a case by hand, but it is a test"
            self.assertIn(reason, judge(text, ran).reasons)
        self.assertIn(f"failed: {TEST}", judge(text, outcome(failed=[TEST])).reasons)

    def test_each_entry_is_judged_by_itself(self):
        other = BLOCK.replace(TEST, "test_x.X.test_b")
        text = f"# What is known.\n{BLOCK}\n# Another.\n{other}\n\n{BY_HAND}"
        verdict = judge(text, outcome(passed=["test_x.X.test_b"], failed=[TEST]))
        self.assertEqual(verdict.reasons, ["KNOWN-RED.txt lists test_x.X.test_b, which passes"])
        self.assertEqual(len(verdict.notes), 2)

    def test_an_entry_without_one_of_its_fields_fails_the_run(self):
        lines = BLOCK.splitlines()
        for line in lines:
            name = line.partition(":")[0]
            rest = [other for other in lines if other != line]
            with self.subTest(name=name):
                self.assert_malformed("\n".join(rest), f"the entry of '{rest[0]}' has no {name}")
                self.assert_malformed(
                    BLOCK.replace(line, f"{name}:"),
                    f"'{name}:' is no 'field: value' of test, when, command, seed, seen, issue",
                )

    def test_what_is_no_field_or_comes_twice_fails_the_run(self):
        fields = "test, when, command, seed, seen, issue"
        for line in (TEST, f"{TEST}, the cause, issue 7", "cause: x"):
            self.assert_malformed(line, f"'{line}' is no 'field: value' of {fields}")
            self.assert_malformed(BLOCK + line, f"'{line}' is no 'field: value' of {fields}")
        self.assert_malformed(BLOCK + "seed: 8", "'seed: 8' gives the field seed twice")
        self.assert_malformed(f"{BLOCK}\n{INTERMITTENT}", f"two entries of {TEST}")

    def test_other_words_for_when_and_an_issue_without_number_fail_the_run(self):
        self.assert_malformed(
            BLOCK.replace("always", "sometimes"),
            "'when: sometimes' is none of always, intermittent, by hand",
        )
        self.assert_malformed(BLOCK.replace("44", "none"), "'issue: none' is no number")

    def test_a_malformed_entry_passes_over_nothing(self):
        verdict = judge(BLOCK.replace("44", "none"), outcome(failed=[TEST]))
        self.assertIn(f"failed: {TEST}", verdict.reasons)

    def test_the_file_of_this_repository_is_well_formed(self):
        path = run.ROOT / run.FILE_NAME
        if path.exists():
            self.assertEqual(run.parse(path.read_text())[1], [])


class Runs(unittest.TestCase):
    """Whole runs of run.py over tests written here, with their exit codes."""

    TESTS = """
import unittest
class X(unittest.TestCase):
    def test_a(self):
        for number in range(2):
            with self.subTest(number):
                self.assertEqual(number, 0)
    def test_b(self):
        pass
"""

    def exit_code_and_lines(self, known_red):
        """Of a run at another root, where one test fails and one passes."""
        with tempfile.TemporaryDirectory() as folder:
            root = Path(folder)
            (root / "tests").mkdir()
            (root / "tests" / "run.py").write_text(Path(run.__file__).read_text())
            (root / "tests" / "test_x.py").write_text(self.TESTS)
            (root / "KNOWN-RED.txt").write_text(known_red)
            command = [sys.executable, str(root / "tests" / "run.py")]
            finished = subprocess.run(command, capture_output=True, text=True, timeout=60)
        return finished.returncode, finished.stdout.splitlines()

    def test_a_run_whose_only_failure_is_listed_ends_well_and_prints_it(self):
        code, lines = self.exit_code_and_lines(BLOCK)
        self.assertEqual(code, 0)
        self.assertEqual(lines, [f"known red, always, failed: {PRINTED}", "1 passed, 1 failed"])

    def test_a_run_fails_on_an_unlisted_failure_a_malformed_entry_and_a_stale_one(self):
        stale = BLOCK.replace("test_a", "test_b")
        unknown = BLOCK.replace("test_a", "test_c")
        for known_red, reason in (
            ("", f"failed: {TEST}"),
            (f"{BLOCK}\ntest: only\n", "KNOWN-RED.txt: the entry of 'test: only' has no "),
            (f"{BLOCK}\n{stale}", "KNOWN-RED.txt lists test_x.X.test_b, which passes"),
            (f"{BLOCK}\n{unknown}", "KNOWN-RED.txt lists test_x.X.test_c, which is no test"),
        ):
            with self.subTest(reason=reason):
                code, lines = self.exit_code_and_lines(known_red)
                self.assertEqual(code, 1)
                self.assertTrue(any(line.startswith(reason) for line in lines), lines)


if __name__ == "__main__":
    unittest.main()
