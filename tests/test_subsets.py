"""Tests of subsetting: which tables proxies get from the policy as a whole."""

import unittest
from collections import Counter

from embertray.policy import Controller, interface as i

S = 10**9
BACKENDS = 160  # 20 tables of 8 lines
CONTROLLERS = 5
PROXIES = 400


class Subsets(unittest.TestCase):
    def bind(self, joining):
        """Returns table -> number of proxies bound to it, after `joining` proxies joined at once."""
        zone = i.Zone("z")
        deployment = i.Deployment(
            [],
            [zone],
            controllers=CONTROLLERS,
            proxies=PROXIES,
            drain_grace=3 * S,
            channel_rate=1000.0,
            pending_max=1e6,
            report_interval=S,
        )
        controller = Controller(1, deployment, S)
        backends = [i.Endpoint(i.Backend(f"b{n}"), zone) for n in range(BACKENDS)]
        controller.step(S, [i.EndpointListUpdate("whole", backends)])
        proxies = [i.ProxyJoined(i.Proxy(n), zone, 10.0, False) for n in range(joining)]
        orders = controller.step(2 * S, proxies)
        return Counter(order.table for order in orders if isinstance(order, i.Bind))

    def test_a_controller_with_its_share_of_proxies_uses_one_table_per_five(self):
        proxies_by_table = self.bind(PROXIES // CONTROLLERS)
        self.assertEqual((len(proxies_by_table), set(proxies_by_table.values())), (16, {5}))

    def test_a_controller_that_took_over_all_proxies_uses_every_table(self):
        """Guards against tables without proxies, whose backends would leave their load to the others."""
        proxies_by_table = self.bind(PROXIES)
        self.assertEqual((len(proxies_by_table), set(proxies_by_table.values())), (20, {20}))


if __name__ == "__main__":
    unittest.main()
