"""Tests of backends, proxies and nonces that are removed while orders for them are in flight, with the
complete controller on loopback.
"""

import unittest

import anyio
from platform_fixtures import endpoint_fields, running_service

from embertray.platform.protocol import limits


async def wait_until_idle(service, relay):
    """Wait until nothing is pending or in flight."""
    controller = service.controller
    while (
        controller.pending_events
        or not controller.order_caller.idle
        or controller.policy.publisher.queue.due_at
        or controller.policy.publisher.removal.pending
        or controller.policy.publisher.binding.pending
        or any(proxy.messages.unacknowledged for proxy in controller.policy.proxies)
    ):
        await anyio.sleep(0.02)


class Backends(unittest.TestCase):
    def run_scenario(self, fault, *changes):
        """Add a backend with a call that ends by `fault`, and apply `changes` once the relay has the call.

        Returns its final weight at the proxy, or None.
        """

        async def scenario():
            async with running_service() as (service, relay, discovery):
                relay.attach(1, "north")
                await relay.wait_until(lambda: relay.lines(1))
                await wait_until_idle(service, relay)
                relay.next_faults, before = [fault], len(relay.calls)
                discovery.change("new", **endpoint_fields("new"))
                await relay.wait_until(lambda: len(relay.calls) > before)
                for change in changes:
                    discovery.change("new", **change)
                revision = discovery.revision
                while service.controller.list_watch.revision < revision:
                    await anyio.sleep(0.02)
                await wait_until_idle(service, relay)
                return relay.lines(1).get("new")

        return anyio.run(scenario)

    def test_a_backend_removed_while_its_first_line_is_in_flight_is_in_no_table(self):
        for fault in ("ok", "lose", "mute", "cut", "stall"):
            for changes in (
                [{"phase": "draining"}],
                [{"phase": "gone"}],
                [{"phase": "draining"}, {"phase": "gone"}],
            ):
                with self.subTest(fault=fault, changes=changes):
                    self.assertIsNone(self.run_scenario(fault, *changes))

    def test_a_backend_that_returns_while_its_removal_is_in_flight_stays(self):
        for fault in ("ok", "lose", "mute"):
            with self.subTest(fault=fault):
                self.assertTrue(
                    self.run_scenario(fault, {"phase": "draining"}, {"phase": "ready", "up_since_ms": 1000})
                )


class Proxies(unittest.TestCase):
    def test_a_proxy_that_rejoins_during_its_bind_is_bound(self):
        async def scenario():
            for fault in ("ok", "lose", "mute", "stall"):
                async with running_service() as (service, relay, _):
                    await relay.wait_until(
                        lambda: relay.calls and len(relay.event_queues) == limits.EVENT_STREAMS
                    )
                    await wait_until_idle(service, relay)
                    relay.next_faults, before = [fault], len(relay.calls)
                    relay.attach(1, "north")
                    await relay.wait_until(lambda: len(relay.calls) > before)
                    self.assertTrue(any(order.startswith("USE,1,") for order in relay.calls[before][1]))
                    relay.detach(1)
                    relay.attach(1, "south")
                    await relay.wait_until(lambda: relay.lines(1))
                    await wait_until_idle(service, relay)
                    self.assertTrue(relay.lines(1))

        anyio.run(scenario)

    def test_a_late_acknowledgement_of_an_earlier_join_is_ignored(self):
        async def scenario():
            async with running_service() as (service, relay, _):
                relay.acknowledges = False
                relay.attach(1, "north")
                await relay.wait_until(lambda: relay.lines(1))
                old_nonce = max(service.controller.identifiers.nonces)
                relay.detach(1)
                relay.attach(1, "north")
                await relay.wait_until(
                    lambda: (
                        sum(order.startswith("USE,1,") for _, orders in relay.calls for order in orders) > 1
                    )
                )
                relay.send_event("done", f"node=1&nonce={old_nonce}&latency=5")
                relay.attach(2, "north")  # reported after the old nonce
                await relay.wait_until(lambda: relay.lines(2))
                proxies_by_id = {
                    proxy.handle.external_id: proxy for proxy in service.controller.policy.proxies
                }
                self.assertTrue(
                    proxies_by_id[1].messages.unacknowledged
                )  # its own acknowledgement is still missing
                self.assertNotIn(
                    old_nonce, [nonce.external_id for nonce, _ in proxies_by_id[1].messages.unacknowledged]
                )

        anyio.run(scenario)

    def test_only_a_proxy_that_does_not_acknowledge_is_bound_again(self):
        async def scenario():
            async with running_service() as (service, relay, discovery):
                for node in (1, 2):
                    relay.attach(node, "north")
                await relay.wait_until(lambda: relay.lines(1) and relay.lines(2))
                await wait_until_idle(service, relay)
                before = len(relay.calls)
                del relay.bound[2]  # orders for its table no longer reach it, so it acknowledges nothing
                discovery.change("be-3", **endpoint_fields("be-3"))
                await relay.wait_until(lambda: "be-3" in relay.lines(2))
                binds = [
                    order.split(",")[1]
                    for _, orders in relay.calls[before:]
                    for order in orders
                    if order.startswith("USE,")
                ]
                self.assertEqual(set(binds), {"2"})

        anyio.run(scenario)


if __name__ == "__main__":
    unittest.main()
