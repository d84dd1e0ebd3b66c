"""The report intake: merging of load reports, rounds, the rate limit."""

import unittest

from hypothesis import given, settings, strategies as st

from embertray.controller.identifiers import Identifiers
from embertray.controller.report_intake import ReportIntake
from embertray.controller.stream.messages import ArrivalTotals, BackendTotals, LoadReport
from embertray.policy import interface as i

S = 10**9


class ReportIntakeTests(unittest.TestCase):
    def test_merging_keeps_all_counts_and_releases_the_oldest_first(self):
        identifiers, intake = Identifiers(), ReportIntake(4.0)
        proxy, zone, kind = (
            identifiers.proxy("p"),
            identifiers.zone("z"),
            i.RequestKind(1, 2, external_id="view"),
        )
        for n in range(3):
            now = (n + 1) * S // 100
            for name in "ab":
                identifiers.backend(name)
            intake.add_report(
                now,
                proxy,
                zone,
                LoadReport(
                    S,
                    [BackendTotals("a", 4, 1, 300, {"busy": n / 2}), BackendTotals("b", 2)],
                    [ArrivalTotals("view", 5, 1), ArrivalTotals("strange", 9)],
                ),
                identifiers.backends.get,
                {"view": kind}.get,
            )
        events, at = [], 0
        while (at := intake.next_release()) is not None:
            events += intake.release_due(at)
        self.assertEqual(
            [type(e).__name__ for e in events], ["BackendReport", "BackendReport", "ArrivalReport"]
        )
        self.assertEqual(
            (events[0].tries, events[0].failed, events[0].latency, events[0].load["busy"]), (12, 3, 100, 1.0)
        )
        self.assertEqual((events[2].requests, events[2].lost), (15, 3))

    def test_the_span_of_a_round_counts_once_for_all_proxies(self):
        """Three proxies report at different phases: attempts divided by spans are the zone's rate."""
        identifiers, intake, events = Identifiers(), ReportIntake(0.0, 0, S), []
        zone = identifiers.zone("z")
        for tenth in range(100):
            now = tenth * S // 10
            for n in range(3):
                if tenth % 10 == n * 2:
                    intake.add_report(
                        now,
                        identifiers.proxy(f"p{n}"),
                        zone,
                        LoadReport(S, [BackendTotals("a", 10, 1)]),
                        identifiers.backend,
                        {}.get,
                    )
            events += intake.release_due(now)
        events += intake.release_due(20 * S)
        self.assertEqual((sum(e.tries for e in events), sum(e.failed for e in events)), (300, 30))
        self.assertEqual(len(events), 11)  # the first round closed with one proxy, the only one known
        late = events[1:-1]
        self.assertAlmostEqual(sum(e.tries for e in late) * S / sum(e.span for e in late), 30)

    def test_a_round_waits_for_one_cycle_and_then_ignores_a_silent_proxy(self):
        identifiers, intake = Identifiers(), ReportIntake(0.0, 0, S)
        zone, released_at = identifiers.zone("z"), []

        def send_report(now, name):
            intake.add_report(
                now,
                identifiers.proxy(name),
                zone,
                LoadReport(S, [BackendTotals("a", 1)]),
                identifiers.backend,
                {}.get,
            )

        for name in "pq":
            send_report(0, name)
        self.assertEqual(len(intake.release_due(0)), 1)
        for cycle in range(1, 8):  # q is silent from now on
            send_report(cycle * S, "p")
            for tenth in range(10):
                now = cycle * S + tenth * S // 10
                released_at += [now] * len(intake.release_due(now))
        self.assertEqual(released_at, [n * S for n in range(1, 8)])
        self.assertEqual(
            (intake.rounds, intake.next_release()), ({}, None)
        )  # the last round closed at once, without waiting for q

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(st.integers(0, 400), st.integers(0, 3), st.integers(0, 2), st.integers(1, 9)),
            max_size=40,
        ),
        st.sampled_from([0.0, 3.0, 50.0]),
    )
    def test_no_attempt_is_lost_or_counted_twice(self, reports, rate):
        identifiers, intake, events, now = Identifiers(), ReportIntake(rate, 0, S), [], 0
        for gap, proxy, backend, attempts in reports:
            now += gap * S // 100
            intake.add_report(
                now,
                identifiers.proxy(f"p{proxy}"),
                identifiers.zone(f"z{proxy % 2}"),
                LoadReport(
                    S, [BackendTotals(f"b{backend}", attempts, 1, 7)], [ArrivalTotals("view", attempts)]
                ),
                identifiers.backend,
                {"view": "view"}.get,
            )
            events += intake.release_due(now)
        while (at := intake.next_release()) is not None:
            now = max(now, at)
            events += intake.release_due(now)
        backend_reports = [e for e in events if isinstance(e, i.BackendReport)]
        self.assertEqual(sum(e.tries for e in backend_reports), sum(t[3] for t in reports))
        self.assertEqual(sum(e.failed for e in backend_reports), len(reports))
        self.assertEqual(
            sum(e.requests for e in events if isinstance(e, i.ArrivalReport)), sum(t[3] for t in reports)
        )

    def test_the_rate_limits_released_events(self):
        identifiers, intake = Identifiers(), ReportIntake(10.0)
        intake.add_report(
            0,
            identifiers.proxy("p"),
            identifiers.zone("z"),
            LoadReport(S, [BackendTotals(f"b{n}", 1) for n in range(100)]),
            identifiers.backend,
            {}.get,
        )
        count = sum(len(intake.release_due(t * S // 100)) for t in range(201))
        self.assertTrue(20 <= count <= 23, count)


if __name__ == "__main__":
    unittest.main()
