"""What a step of the module costs, counted in lines of its code that run, not in time: same verdict every
time.
"""

import re
import sys
import unittest

from embertray.policy import Controller, interface as i
from embertray.simulation.standins.fleet import Fleet

MS, S = 10**6, 10**9
COUNTED = re.compile(r"/embertray/policy/")


def settled(backends, proxies):
    """All proxies are bound and every backend was heard of."""
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


def lines(fleet, events, wait=250 * MS):
    """Lines of embertray/policy that one step runs, loops in comprehensions by turn."""
    count = 0

    def local(frame, what, _):
        nonlocal count
        count += what == "line"
        return local

    def begin(frame, what, _):
        return local if COUNTED.search(frame.f_code.co_filename) else None

    fleet.now += wait
    fleet.deliver()
    events, fleet.pending_events = fleet.pending_events + events, []
    sys.settrace(begin)
    try:
        orders = fleet.module.step(fleet.now, events)
    finally:
        sys.settrace(None)
    fleet.send(orders)
    return count


class Cost(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.small, cls.large = settled(100, 400), settled(600, 2000)

    def test_a_beat_grows_with_the_fleet_not_with_its_square(self):
        """Six times the backends and five times the proxies: about six times the lines, not thirty."""
        small, large = (max(lines(fleet, []) for _ in range(8)) for fleet in (self.small, self.large))
        self.assertLess(large, 6.5 * small)

    def test_who_joins_between_beats_costs_no_look_at_tables(self):
        """A few lines for each proxy that is here (who uses which table), none for each backend, line or
        table.
        """
        for fleet in (self.small, self.large):
            proxy = fleet.proxies[7]
            lines(fleet, [])
            left = lines(fleet, [i.ProxyLeft(proxy)], 5 * MS)
            joined = lines(fleet, [i.ProxyJoined(proxy, fleet.zones[1], 1.0, False)], 5 * MS)
            self.assertLess(left, 200)
            self.assertLess(joined, 20 * len(fleet.proxies))
            self.assertGreater(lines(fleet, []), 3 * joined)  # the count sees what a beat does


if __name__ == "__main__":
    unittest.main()
