"""Tests of the policy with a whole fleet, against a stand-in of the relay's channel."""

import unittest
from unittest import mock

from embertray.policy import Controller, interface as i
from embertray.policy.channel_budget import ChannelBudget
from embertray.policy.routing_tables import RoutingTables
from embertray.policy.weight_planner import WeightPlanner
from embertray.simulation.standins.fleet import Fleet

MS, S = 10**6, 10**9


def join_during_drains(proxies, **site):
    """Runs a fleet in which all proxies join within half a second and backends are replaced in waves.

    Each proxy holds lines for a fifth of the list. In three waves 120 of 200 backends drain and as many cold
    backends start.

    Returns:
        The `Fleet`.
    """
    fleet = Fleet(Controller, 200, proxies, **site)
    fleet.run(11 * S)
    for part in range(4):
        fleet.join(fleet.proxies[part::4], lambda proxy: fleet.backends[proxy.external_id % 5 * 40 :][:40])
        fleet.run(fleet.now + 100 * MS)
    for wave in range(3):
        fleet.run(fleet.now + 1500 * MS)
        fleet.change_list("changes", fleet.backends[wave * 40 :][:40], "draining")
        new = [i.Backend(f"be-{1000 + wave * 40 + k}") for k in range(40)]
        fleet.change_list("changes", new, "ready", fleet.now)
    fleet.run(fleet.now + 14 * S)
    return fleet


class WholeFleet(unittest.TestCase):
    def test_bindings_and_removals_meet_the_drain_grace(self):
        fleet = join_during_drains(1600)
        self.assertEqual(len(fleet.overdue), 0, "lines held past the grace")
        self.assertEqual(len(fleet.bound), 1600)
        self.assertLessEqual(fleet.channel.pending_lines_max, fleet.deployment.pending_max)
        self.assertLess(max(fleet.without_lines_ns.values(), default=0), fleet.deployment.no_backend_limit)
        self.assertLess(len(set(fleet.bound.values())), 1600 / 5)  # tables are still shared

    def test_whole_tables_miss_the_drain_grace(self):
        """Shows that the stand-in detects a failing controller, whose tables all hold the whole list."""
        with mock.patch.object(RoutingTables, "lines_max", lambda self: 0):
            self.assertGreater(len(join_during_drains(400).overdue), 1000)

    def test_no_table_is_left_without_a_line_while_few_are_warm(self):
        """Guards against empty tables under congestion, when only the few warm backends get lines."""
        fleet = join_during_drains(400)
        tables = fleet.policy.publisher.tables
        zone_tables = next(iter(tables.zones.values()))
        self.assertGreater(len(zone_tables.tables), 4)
        warm = {
            backend: 1.0
            for backend in fleet.policy.backends
            if backend.state == "ready" and backend.handle.external_id in ("be-150", "be-151", "be-152")
        }
        self.assertEqual(len(warm), 3)
        zone_tables.assign(warm, tables.lines_max(), tables.usual_rates())
        for table in zone_tables.tables:
            self.assertTrue(any(table.desired.values()), "a table without a line")
        all_ready = {backend: 1.0 for backend in fleet.policy.backends if backend.state == "ready"}
        # with enough backends each table has its own again
        zone_tables.assign(all_ready, tables.lines_max(), tables.usual_rates())
        self.assertEqual(
            sorted(
                backend.handle.external_id
                for table in zone_tables.tables
                for backend, weight in table.desired.items()
                if weight
            ),
            sorted(backend.handle.external_id for backend in all_ready),
        )

    def test_a_table_without_lines_does_not_wait_behind_weights(self):
        """Guards against a table that stays empty for 7 s after all its lines were removed.

        This happened when weights of other tables used up the channel budget in each control cycle.
        """
        fleet = join_during_drains(400)
        empty_table = next(proxy.table for proxy in fleet.policy.proxies if proxy.table)
        empty_table.sent.clear()
        with mock.patch.object(
            ChannelBudget, "pending_lines", lambda self: 0.4 * self.context.deployment.pending_max
        ):  # no room for weights or weight cuts
            fleet.run(fleet.now + S)
        self.assertGreaterEqual(len(empty_table.sent), 8)

    def test_removals_that_no_message_can_hold_go_in_parts(self):
        """Guards against a mass removal that is never sent, as half of its lines exceed the whole channel."""
        fleet = Fleet(Controller, 60, 100, zones=1, controllers=1, channel_rate=2000.0, pending_max=2000.0)
        fleet.run(11 * S)
        fleet.join(fleet.proxies, lambda proxy: fleet.backends[:5])
        fleet.run(fleet.now + 10 * S)
        self.assertTrue(all(len(fleet.lines[proxy]) == 60 for proxy in fleet.proxies))
        fleet.change_list("changes", fleet.backends[:40], "gone")
        fleet.run(fleet.now + 15 * S)
        self.assertEqual(len(fleet.overdue), 0, "lines held past the grace")
        self.assertLessEqual(fleet.channel.pending_lines_max, fleet.deployment.pending_max)

    def test_messages_are_counted_as_written_when_the_channel_lags(self):
        fleet = Fleet(Controller, 6, 20, channel_rate=5000.0, pending_max=10**6, messages_max=8)
        fleet.run(10500 * MS)
        fleet.join(fleet.proxies, lambda proxy: fleet.backends[:5])
        fleet.run(12 * S)
        # The channel stalls, then writes all pending messages at once.
        fleet.channel.free_at = fleet.now + 9 * S
        for second in range(25):
            fleet.change_list("changes", [fleet.backends[second % 6 - 1]], "ready", 1)
            fleet.change_list("changes", [fleet.backends[second % 6]], "draining")
            fleet.run(fleet.now + S)
        for times in fleet.channel.sent_at.values():
            most = max(sum(at - 10 * S < t <= at for t in times) for at in times)
            self.assertLessEqual(most, fleet.deployment.messages_max)

    def test_joins_between_cycles_run_no_planning(self):
        fleet = Fleet(Controller, 30, 100, pending_max=10**5)
        fleet.run(11 * S)
        with mock.patch.object(WeightPlanner, "plan", autospec=True, side_effect=WeightPlanner.plan) as plan:
            for proxy in fleet.proxies:
                fleet.join([proxy], lambda proxy: fleet.backends[:5])
                fleet.run(fleet.now + 10 * MS, 10 * MS)
        self.assertEqual(len(fleet.bound), 100)
        self.assertLessEqual(plan.call_count, 5)  # one second of joins: four cycles and one more

    def test_tables_are_whole_if_the_channel_can_deliver_them(self):
        fleet = Fleet(Controller, 30, 100, channel_rate=5000.0, pending_max=5000.0)
        fleet.run(10500 * MS)
        fleet.join(fleet.proxies, lambda proxy: fleet.backends[:5])
        fleet.run(14 * S)
        self.assertTrue(all(len(fleet.lines[proxy]) == 30 for proxy in fleet.proxies))
        self.assertEqual(len(set(fleet.bound.values())), 2)


if __name__ == "__main__":
    unittest.main()
