"""How bin/test judges by KNOWN-RED.txt."""

import unittest

from run import judge

LINE = "test_x.X.test_a, the cause, issue 7"


class KnownRed(unittest.TestCase):
    def test_only_listed_failures_are_passed_over(self):
        self.assertEqual(judge("", {"a"}, set()), ([], []))
        self.assertEqual(judge(LINE + "\n", {"b"}, {"test_x.X.test_a"}), ([LINE], []))
        self.assertEqual(judge(LINE, set(), {"test_x.X.test_a", "c"}), ([LINE], ["failed: c"]))
        self.assertEqual(judge("", set(), {"c"}), ([], ["failed: c"]))

    def test_a_listed_test_that_passes_fails_the_run_and_one_that_did_not_run_does_not(self):
        self.assertEqual(
            judge(LINE, {"test_x.X.test_a"}, set())[1], ["KNOWN-RED.txt lists test_x.X.test_a, which passes"]
        )
        self.assertEqual(judge(LINE, set(), set()), ([], []))

    def test_a_fourth_line_and_a_line_without_cause_or_issue_fail_the_run(self):
        four = "\n".join(f"t{k}, cause, issue" for k in range(4))
        self.assertEqual(
            judge(four, set(), {f"t{k}" for k in range(4)})[1], ["KNOWN-RED.txt: 4 lines, 3 at most"]
        )
        for line in ("test_x.X.test_a", "test_x.X.test_a, cause", ", cause, issue"):
            self.assertIn(
                f"KNOWN-RED.txt: '{line}' is no 'test, cause, issue'",
                judge(line, set(), {"test_x.X.test_a"})[1],
            )


if __name__ == "__main__":
    unittest.main()
