"""Discovery: what is asked and what an answer means, by bytes and times."""
import json
import unittest

from embertray.platform import limits
from embertray.platform.discovery import Follow, Unreadable as BadList
from platform_stage import MS, S, member


class Lists(unittest.TestCase):
    def body(self, revision, complete, *members):
        return json.dumps({"revision": revision, "complete": complete, "members": members}).encode()

    def test_the_whole_list_then_changes(self):
        follow = Follow(41)
        self.assertEqual(follow.ask()[0], "/catalog/members")
        how, members = follow.heard(0, 200, self.body(42, True, member("be-1", up_since_ms=1500)))
        self.assertEqual((how, members[0].backend, members[0].started), ("whole", "be-1", 1500 * MS))
        self.assertEqual(follow.ask()[0], "/catalog/members?from=42&hold_ms=2000")
        self.assertEqual(follow.heard(0, 200, self.body(43, False, member("be-1", phase="gone")))[1][0].state, "gone")
        self.assertIsNone(follow.heard(0, 200, self.body(43, False)))

    def test_an_older_list_takes_nothing_back_until_it_stays(self):
        follow = Follow()
        follow.heard(0, 200, self.body(43, True, member("be-1", phase="draining")))
        self.assertIsNone(follow.heard(S, 200, self.body(42, True, member("be-1"))))
        self.assertEqual(follow.heard(S + limits.OLD_MOST, 200, self.body(42, True, member("be-1")))[0], "whole")
        follow.elsewhere()
        self.assertEqual(follow.heard(20 * S, 200, self.body(1, True))[0], "whole")

    def test_what_is_no_list_is_asked_for_again(self):
        follow = Follow()
        for status, body in ((500, self.body(1, True)), (200, b"{"), (200, self.body(-1, True)), (200, self.body(1, False)),
                             (200, self.body(1, True, member("be-1", phase="x"))), (200, b"\xff\xfe")):
            with self.assertRaises(BadList):
                follow.heard(0, status, body)
            self.assertLessEqual(follow.broke(), limits.AGAIN_MOST)


if __name__ == "__main__":
    unittest.main()
