"""Tests of the cost of a policy step.

The cost is the number of executed lines, not time, so that the result is deterministic.
"""

import re
import sys
import unittest

from embertray.policy import Controller, interface as i
from embertray.simulation.standins.fleet import Fleet

MS, S = 10**6, 10**9
COUNTED = re.compile(r"/embertray/policy/")


def settled_fleet(backends, proxies):
    """Returns a fleet with all proxies bound and reports on every backend."""
    fleet = Fleet(Controller, backends, proxies, channel_rate=3 * proxies, pending_max=24 * proxies)
    fleet.run(11 * S)
    fleet.join(fleet.proxies, lambda proxy: fleet.backends[:5])
    for _second in range(8):
        for n, backend in enumerate(fleet.backends):
            fleet.pending_events.append(
                i.BackendReport(backend, fleet.zones[n % 2], 10, 0, 250 * MS, 2 * S, {"waiting": 0})
            )
        fleet.run(fleet.now + S)
    return fleet


def count_lines(fleet, events, wait=250 * MS):
    """Returns the lines of embertray/policy executed by one step; each pass of a comprehension counts."""
    count = 0

    def trace_lines(frame, event, _):
        nonlocal count
        count += event == "line"
        return trace_lines

    def trace_calls(frame, event, _):
        return trace_lines if COUNTED.search(frame.f_code.co_filename) else None

    fleet.now += wait
    fleet.deliver()
    events, fleet.pending_events = fleet.pending_events + events, []
    sys.settrace(trace_calls)
    try:
        orders = fleet.policy.step(fleet.now, events)
    finally:
        sys.settrace(None)
    fleet.send(orders)
    return count


class Cost(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.small, cls.large = settled_fleet(100, 400), settled_fleet(600, 2000)

    def test_the_cost_of_a_cycle_grows_linearly_with_the_fleet(self):
        """Six times the backends and five times the proxies execute about six times the lines, not thirty."""
        small, large = (max(count_lines(fleet, []) for _ in range(8)) for fleet in (self.small, self.large))
        self.assertLess(large, 6.5 * small)

    def test_a_join_between_cycles_scans_no_tables(self):
        """Allows a few lines per proxy, to find the users of each table; none per backend, line or table."""
        for fleet in (self.small, self.large):
            proxy = fleet.proxies[7]
            count_lines(fleet, [])
            left = count_lines(fleet, [i.ProxyLeft(proxy)], 5 * MS)
            joined = count_lines(fleet, [i.ProxyJoined(proxy, fleet.zones[1], 1.0, False)], 5 * MS)
            self.assertLess(left, 200)
            self.assertLess(joined, 20 * len(fleet.proxies))
            self.assertGreater(count_lines(fleet, []), 3 * joined)  # the count includes the work of a cycle


if __name__ == "__main__":
    unittest.main()
