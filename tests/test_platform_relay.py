"""Tests of the relay's protocol: calls, their answers and event streams."""

import unittest

import anyio
from platform_fixtures import ACCEPTED_ANSWER, ERROR, MS, S, running_service

from embertray.platform.protocol import limits
from embertray.platform.protocol.answers import CallRejected, OrdersAccepted, read_answer
from embertray.platform.protocol.event_stream import (
    EventStreamParser,
    NonceAcknowledged,
    ProxyJoined,
    ProxyLeft,
)
from embertray.platform.protocol.exceptions import UnreadableAnswerError, UnreadableEventStreamError
from embertray.platform.protocol.order_caller import OrderCaller
from embertray.platform.protocol.proxy_registry import ProxyRegistry


class Calls(unittest.TestCase):
    def caller(self):
        caller = OrderCaller(200 * MS)
        caller.enqueue(["SET,1,be-1,1", "USE,3,1,*", "USE,4,1,*"], 7, "SYNC,7,{}".format)
        return caller

    def test_answers_are_parsed_or_rejected(self):
        self.assertEqual(
            read_answer(200, b'<?xml version="1.0"?>\n' + ACCEPTED_ANSWER % 2), OrdersAccepted(2)
        )
        self.assertEqual(read_answer(503, ERROR % b"throttled"), CallRejected("throttled"))
        for invalid_answer in (
            b"",
            b"<Response><items><it",
            ACCEPTED_ANSWER % 2 + b"x",
            ACCEPTED_ANSWER.replace(b"%d", b"-1"),
            ACCEPTED_ANSWER.replace(b"%d", b""),
            b"\xff" * 9,
            b"<Response/>",
            (ACCEPTED_ANSWER % 2).replace(b"Response", b"R"),
            b"x" * (limits.ANSWER_MAX_BYTES + 1),
            ACCEPTED_ANSWER.replace(b"%d", "²".encode()),
            ACCEPTED_ANSWER.replace(b"%d", b"9" * 5000),
        ):
            with self.assertRaises(UnreadableAnswerError):
                read_answer(200, invalid_answer)

    def test_an_accepted_call_is_complete(self):
        caller = self.caller()
        call = caller.next_call(0)
        self.assertEqual(call.orders, ["SET,1,be-1,1", "USE,3,1,*", "USE,4,1,*", "SYNC,7,0"])
        self.assertEqual(call.body()[:37], b"Action=CommitChanges&orders=SET%2C1%2")
        self.assertEqual((caller.on_answer(0, 200, ACCEPTED_ANSWER % 4), caller.idle), ("", True))

    def test_an_order_count_above_the_orders_sent_proves_nothing(self):
        caller = self.caller()
        caller.next_call(0)
        self.assertTrue(caller.on_answer(0, 200, ACCEPTED_ANSWER % 5))
        self.assertIsNone(caller.next_call(100 * MS))
        self.assertEqual(
            caller.next_call(200 * MS + limits.ACKNOWLEDGEMENT_WAIT_NS).orders[0], "SET,1,be-1,1"
        )  # repeated: its nonce was not acknowledged

    def test_a_refused_order_is_dropped_and_the_rest_is_sent(self):
        caller = self.caller()
        caller.next_call(0)
        caller.on_answer(0, 200, ACCEPTED_ANSWER % 1)
        self.assertEqual(
            caller.next_call(0).orders, ["USE,4,1,*", "SYNC,7,1"]
        )  # proxies that got the first part must acknowledge, too

    def test_the_backoff_of_a_rejected_call_grows(self):
        caller, now, waits = self.caller(), 0, []
        for _ in range(6):
            self.assertIsNotNone(caller.next_call(now))
            caller.on_answer(now, 503, ERROR % b"throttled")
            waits.append(caller.next_call_at - now)
            now = caller.next_call_at
        self.assertEqual(waits, sorted(waits))
        self.assertEqual((waits[0], waits[-1]), (limits.BACKOFF_FIRST_NS, limits.BACKOFF_MAX_NS))
        self.assertEqual(caller.next_call(now).orders, self.caller().next_call(0).orders)
        self.assertEqual(caller.orders_dropped, 0)

    def run_with_rejections(self, is_invalid, word=b"invalid"):
        """Run a caller against a relay that rejects every call with an order for which `is_invalid(order)`.

        Returns (caller, accepted orders, log messages).
        """
        caller, taken, log_texts, now = self.caller(), [], [], 0
        for _ in range(100):
            if caller.idle:
                return caller, taken, log_texts
            now = max(now, caller.next_call_at)
            orders = list(caller.next_call(now).orders)
            if any(map(is_invalid, orders)):
                log_texts.append(caller.on_answer(now, 400, ERROR % word))
            else:
                taken += orders
                log_texts.append(caller.on_answer(now, 200, ACCEPTED_ANSWER % len(orders)))
        self.fail("the calls have no end")

    def test_an_invalid_call_is_bisected_and_only_invalid_orders_are_lost(self):
        orders = [
            "SET,1,be-1,1",
            "USE,3,1,*",
            "USE,4,1,*",
            "SYNC,7,1",
        ]  # 1: by all proxies, because the call is split
        for word in (b"invalid", b"unheard"):
            for bad in orders:
                caller, taken, log_texts = self.run_with_rejections(
                    lambda order, bad=bad: order[:5] == bad[:5], word
                )
                self.assertEqual((taken, caller.orders_dropped), ([one for one in orders if one != bad], 1))
                named = [line for line in log_texts if "order dropped" in line]
                self.assertEqual(len(named), 1)
                self.assertIn(bad[:5], named[0])
        once = iter([True])
        caller, taken, _ = self.run_with_rejections(lambda order: next(once, False))
        self.assertEqual(
            (taken, caller.orders_dropped), (orders, 0)
        )  # no order was invalid, only the answer was wrong
        caller, taken, _ = self.run_with_rejections(lambda order: True)
        self.assertEqual((taken, caller.orders_dropped), ([], len(orders)))

    def test_an_unanswered_call_is_repeated_only_without_acknowledgement(self):
        for acknowledged_at in (None, 100 * MS):
            caller = self.caller()
            caller.next_call(0)
            caller.on_failure(0, True, "closed")
            self.assertIsNone(caller.next_call(100 * MS))
            if acknowledged_at:
                self.assertTrue(caller.acknowledge(7))
                self.assertIsNone(caller.next_call(acknowledged_at))
                self.assertTrue(caller.idle)
            else:
                self.assertFalse(caller.acknowledge(6))
                self.assertEqual(caller.next_call(200 * MS + limits.ACKNOWLEDGEMENT_WAIT_NS).nonce, 7)
                self.assertFalse(caller.idle)

    def test_a_call_that_was_not_sent_is_repeated_after_a_backoff(self):
        caller = self.caller()
        caller.next_call(0)
        caller.on_failure(0, False, "refused")
        self.assertEqual(caller.next_call(limits.BACKOFF_FIRST_NS).nonce, 7)

    def test_many_orders_are_split_into_several_calls(self):
        caller = OrderCaller(0)
        caller.enqueue([f"USE,{k},1,*" for k in range(9000)], 5, "SYNC,5,{}".format)
        sizes = [len(";".join(call.orders)) for call in caller.queue]
        self.assertTrue(len(sizes) > 1 and max(sizes) <= limits.ORDERS_MAX_BYTES)
        self.assertEqual([call.nonce for call in caller.queue], [None] * (len(sizes) - 1) + [5])
        self.assertEqual(caller.queue[-1].orders[-1], "SYNC,5,1")

    def test_a_call_is_measured_in_bytes_and_is_never_empty(self):
        caller = OrderCaller(0)
        caller.enqueue([f"SET,1,{'é' * 100}-{k},1" for k in range(500)] + [f"SET,1,{'x' * 70_000},1"])
        sizes = [len(";".join(call.orders).encode()) for call in caller.queue]
        self.assertLessEqual(max(sizes[:-1]), limits.ORDERS_MAX_BYTES)
        caller = OrderCaller(0)
        caller.enqueue([f"SET,1,{'x' * 70_000},1"])
        self.assertEqual([len(call.orders) for call in caller.queue], [1])


class EventStreams(unittest.TestCase):
    def test_events_may_be_split_at_any_byte(self):
        data = (
            b":\n\nevent: attach\ndata: node=17&locality=north&w=21.5&cold=1\n\nevent: "
            b"done\r\ndata: node=17&nonce=905&latency=310.4\r\n\r\n"
            b"event: attach\ndata: node=40&locality=north&w=1&cold=0\n\nevent: attach\ndata: "
            b"node=x\n\nevent: detach\ndata: node=17\n\n"
        )
        expected = [
            ProxyJoined(17, "north", 21.5, True),
            NonceAcknowledged(17, 905, 310_400_000),
            ProxyLeft(17),
        ]
        parser, parser_by_byte = EventStreamParser(["north"], 40), EventStreamParser(["north"], 40)
        self.assertEqual(parser.receive(data), expected)
        self.assertEqual(
            [one for k in range(len(data)) for one in parser_by_byte.receive(data[k : k + 1])], expected
        )
        self.assertEqual(parser.skipped, 2)
        with self.assertRaises(UnreadableEventStreamError):
            parser.receive(b"x" * (limits.EVENT_MAX_BYTES + 1))

    def registry(self):
        """Two synchronized streams with proxies 1 and 2 joined; 'a' is the leader."""
        registry, joins = (
            ProxyRegistry(),
            [ProxyJoined(1, "north", 1.0, True), ProxyJoined(2, "north", 1.0, True)],
        )
        registry.stream_opened(0, "a")
        first = registry.received(0, "a", joins) + registry.received(limits.SYNC_TIME_NS, "a", [])
        registry.stream_opened(limits.SYNC_TIME_NS, "b")
        self.assertEqual(
            registry.received(limits.SYNC_TIME_NS, "b", joins) + registry.received(S, "b", []), []
        )
        return registry, first, joins

    def test_joined_proxies_are_reported_once(self):
        _, first, joins = self.registry()
        self.assertEqual(first, joins)

    def test_an_identical_stream_takes_over_without_events(self):
        registry, _, _ = self.registry()
        self.assertEqual(registry.stream_lost(2 * S, "a"), [])
        self.assertEqual(registry.received(2 * S, "b", [ProxyLeft(1)]), [ProxyLeft(1)])

    def test_events_seen_only_by_the_new_leader_are_passed_on(self):
        registry, _, joins = self.registry()
        third = ProxyJoined(3, "south", 2.0, False)
        self.assertEqual(registry.received(2 * S, "b", [ProxyLeft(1), joins[0], ProxyLeft(2), third]), [])
        self.assertEqual(registry.stream_lost(3 * S, "a"), [ProxyLeft(2), ProxyLeft(1), joins[0], third])

    def test_acknowledgements_count_from_every_stream(self):
        registry, _, _ = self.registry()
        self.assertEqual(
            registry.received(2 * S, "b", [NonceAcknowledged(1, 7, 5), NonceAcknowledged(9, 7, 5)]),
            [NonceAcknowledged(1, 7, 5)],
        )

    def test_a_silent_stream_is_closed_sooner_beside_an_active_one(self):
        registry, _, _ = self.registry()
        registry.received(2 * S, "b", [])
        self.assertTrue(registry.silence_reason(2 * S, "a"))
        self.assertFalse(registry.silence_reason(2 * S, "b"))
        registry.stream_lost(2 * S, "a")
        self.assertFalse(registry.silence_reason(2 * S + limits.SILENCE_MAX_NS, "b"))
        self.assertTrue(registry.silence_reason(2 * S + limits.SILENCE_MAX_NS + 1, "b"))

    def test_after_a_gap_only_proxies_without_a_table_rejoin(self):
        registry, _, joins = self.registry()
        third = ProxyJoined(3, "north", 1.0, True)
        registry.received(2 * S, "a", [third])
        registry.received(2 * S, "b", [third])
        self.assertEqual(registry.stream_lost(2 * S, "b") + registry.stream_lost(2 * S, "a"), [])
        registry.stream_opened(3 * S, "a")
        self.assertEqual(registry.received(3 * S, "a", [joins[0]._replace(without_table=False), third]), [])
        self.assertEqual(registry.next_sync_at(), 3 * S + limits.SYNC_TIME_NS)
        self.assertEqual(
            registry.elect_leader(3 * S + limits.SYNC_TIME_NS), [ProxyLeft(2), ProxyLeft(3), third]
        )

    def test_without_a_gap_proxies_without_a_table_do_not_rejoin(self):
        registry, _, _ = self.registry()
        self.assertEqual(registry.stream_lost(3 * S, "a"), [])

    def test_a_rejoin_during_the_synchronization_of_the_next_leader_is_passed_on(self):
        registry, _, joins = self.registry()
        registry.stream_lost(2 * S, "b")
        registry.stream_opened(2 * S, "b")
        registry.received(2 * S, "b", joins)
        registry.stream_lost(2 * S, "a")
        registry.received(2 * S + MS, "b", [ProxyLeft(1), joins[0]])
        self.assertEqual(registry.elect_leader(2 * S + limits.SYNC_TIME_NS), [ProxyLeft(1), joins[0]])


class OnSockets(unittest.TestCase):
    def test_events_received_with_the_end_of_the_stream_count(self):
        async def scenario():
            async with running_service() as (service, relay, _):
                relay.attach(1, "north")
                await relay.wait_until(
                    lambda: relay.lines(1) and len(relay.event_queues) == limits.EVENT_STREAMS
                )
                relay.attach(2, "north")
                while any(relay.event_queues):  # until the relay has sent the event
                    await anyio.lowlevel.checkpoint()
                del relay.attached[2]  # so that the event is only in the last bytes of the streams
                for stream in list(relay.connections):
                    await anyio.aclose_forcefully(stream)
                await relay.wait_until(
                    lambda: any(order.startswith("USE,2,") for _, orders in relay.calls for order in orders)
                )
                await relay.wait_until(lambda: len(relay.event_queues) == limits.EVENT_STREAMS)
                while 2 in service.controller.proxies.joined:
                    await anyio.sleep(0.02)  # it leaves once the new streams are synchronized

        anyio.run(scenario)

    def test_a_proxy_that_rejoined_while_no_stream_was_open_is_bound_again(self):
        async def scenario():
            async with running_service() as (service, relay, _):
                for node in (1, 2):
                    relay.attach(node, "north")
                await relay.wait_until(
                    lambda: (
                        relay.lines(1) and relay.lines(2) and len(relay.event_queues) == limits.EVENT_STREAMS
                    )
                )
                while (
                    relay.attached[1].endswith("1")
                    or service.controller.policy.publisher.queue.due_at
                    or any(proxy.messages.unacknowledged for proxy in service.controller.policy.proxies)
                ):
                    await anyio.sleep(0.05)  # until no acknowledgement is outstanding
                joined_before = dict(service.controller.proxies.joined_at)
                binds = sum(order.startswith("USE,2,") for _, orders in relay.calls for order in orders)
                del relay.bound[1]  # without an event
                relay.attached[1] = relay.attached[1].replace("cold=0", "cold=1")
                for stream in list(relay.connections):
                    await anyio.aclose_forcefully(stream)
                # detected by the join event, not by a missing acknowledgement, which may take long
                await relay.wait_until(
                    lambda: service.controller.proxies.joined_at[1] > joined_before[1] and relay.lines(1)
                )
                self.assertEqual(service.controller.proxies.joined_at[2], joined_before[2])
                self.assertEqual(
                    sum(order.startswith("USE,2,") for _, orders in relay.calls for order in orders), binds
                )

        anyio.run(scenario)


if __name__ == "__main__":
    unittest.main()
