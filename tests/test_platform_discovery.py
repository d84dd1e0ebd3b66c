"""Tests of discovery: requests and answers of the sans-I/O protocol, and broken answers on loopback."""

import json
import unittest

import anyio
from platform_fixtures import MS, S, configuration_json, endpoint_fields, running_service

from embertray.platform.protocol import limits
from embertray.platform.protocol.configuration import read_configuration
from embertray.platform.protocol.endpoint_list import EndpointListWatch
from embertray.platform.protocol.exceptions import UnreadableListError


class Lists(unittest.TestCase):
    def body(self, revision, complete, *members):
        return json.dumps({"revision": revision, "complete": complete, "members": members}).encode()

    def test_the_complete_list_is_requested_first_and_changes_after_it(self):
        watch = EndpointListWatch(41)
        self.assertEqual(watch.next_request(0)[0], "/catalog/members")
        update_kind, members = watch.on_answer(
            0, 200, self.body(42, True, endpoint_fields("be-1", up_since_ms=1500))
        )
        self.assertEqual((update_kind, members[0].backend, members[0].started), ("whole", "be-1", 1500 * MS))
        self.assertEqual(watch.next_request(0)[0], "/catalog/members?from=42&hold_ms=2000")
        self.assertEqual(
            watch.on_answer(0, 200, self.body(43, False, endpoint_fields("be-1", phase="gone")))[1][0].state,
            "gone",
        )
        self.assertIsNone(watch.on_answer(0, 200, self.body(43, False)))

    def test_an_older_list_is_ignored_until_it_persists(self):
        watch = EndpointListWatch()
        watch.on_answer(0, 200, self.body(43, True, endpoint_fields("be-1", phase="draining")))
        self.assertIsNone(watch.on_answer(S, 200, self.body(42, True, endpoint_fields("be-1"))))
        self.assertEqual(
            watch.on_answer(S + limits.STALE_LIST_MAX_NS, 200, self.body(42, True, endpoint_fields("be-1")))[
                0
            ],
            "whole",
        )
        watch.on_answer(20 * S, 200, self.body(50, True, endpoint_fields("be-1", phase="draining")))

    def test_an_older_list_at_a_new_address_is_ignored_too(self):
        for now in (S, 20 * S):  # the monotonic clock may start near zero
            watch = EndpointListWatch()
            watch.on_answer(now, 200, self.body(43, True, endpoint_fields("be-1", phase="draining")))
            watch.request_whole_list()
            self.assertEqual(watch.next_request(now)[0], "/catalog/members")
            self.assertIsNone(watch.on_answer(now, 200, self.body(42, True, endpoint_fields("be-1"))))
            self.assertEqual(
                watch.next_request(now)[0], "/catalog/members"
            )  # again: no list was accepted yet
            self.assertEqual(
                watch.on_answer(now + S, 200, self.body(43, True, endpoint_fields("be-1", phase="draining")))[
                    0
                ],
                "whole",
            )
            self.assertEqual(watch.next_request(now)[0], "/catalog/members?from=43&hold_ms=2000")
            watch.request_whole_list()
            self.assertIsNone(watch.on_answer(now + S, 200, self.body(1, True)))
            self.assertEqual(
                watch.on_answer(now + S + limits.STALE_LIST_MAX_NS, 200, self.body(1, True))[0], "whole"
            )  # discovery has restarted its revisions

    def test_immediate_answers_without_changes_slow_down_the_requests(self):
        watch = EndpointListWatch()
        watch.next_request(0)
        watch.on_answer(0, 200, self.body(43, True, endpoint_fields("be-1")))
        self.assertEqual(watch.request_delay(), 0)
        pauses = []
        for answer in (
            self.body(43, False),
            self.body(42, True),
            self.body(43, True),
            self.body(43, False),
            self.body(43, False),
        ):
            watch.next_request(S)
            watch.on_answer(S, 200, answer)
            pauses.append(watch.request_delay())
        self.assertEqual(
            pauses,
            [20 * MS, 40 * MS, 80 * MS, limits.UNCHANGED_BACKOFF_MAX_NS, limits.UNCHANGED_BACKOFF_MAX_NS],
        )
        self.assertLess(limits.UNCHANGED_BACKOFF_MAX_NS, 200 * MS)  # a watch has to be renewed within 200 ms
        watch.next_request(2 * S)
        watch.on_answer(2 * S + limits.WATCH_HOLD_NS, 200, self.body(43, False))
        self.assertEqual(watch.request_delay(), 0)
        watch.next_request(9 * S)
        watch.on_answer(9 * S, 200, self.body(44, False))
        self.assertEqual(watch.request_delay(), 0)

    def test_an_invalid_answer_is_requested_again(self):
        watch = EndpointListWatch()
        for status, body in (
            (500, self.body(1, True)),
            (200, b"{"),
            (200, self.body(-1, True)),
            (200, self.body(1, False)),
            (200, self.body(1, True, endpoint_fields("be-1", phase="x"))),
            (200, b"\xff\xfe"),
        ):
            with self.assertRaises(UnreadableListError):
                watch.on_answer(0, status, body)
            self.assertLessEqual(watch.on_failure(), limits.BACKOFF_MAX_NS)


class OnSockets(unittest.TestCase):
    def test_a_drain_is_received_despite_broken_answers(self):
        async def scenario():
            async with running_service() as (_, relay, discovery):
                relay.attach(1, "north")
                await relay.wait_until(lambda: len(relay.lines(1)) == 2)
                for faults in (["head"], ["half"], ["hold"], ["last"], ["slow"], ["head", "half", "head"]):
                    discovery.next_faults = list(faults)
                    discovery.change("be-1", phase="draining")
                    await relay.wait_until(lambda: set(relay.lines(1)) == {"be-2"})
                    self.assertEqual(discovery.next_faults, [])
                    discovery.change("be-1", phase="ready", up_since_ms=discovery.revision)
                    await relay.wait_until(lambda: len(relay.lines(1)) == 2)

        anyio.run(scenario)

    def test_an_empty_list_is_accepted_and_returning_backends_are_served_again(self):
        async def scenario():
            async with running_service() as (service, relay, discovery):
                relay.attach(1, "north")
                await relay.wait_until(lambda: len(relay.lines(1)) == 2)
                members = dict(discovery.members)
                for listed in ({}, members):
                    discovery.members, discovery.revision = listed, discovery.revision + 1
                    service.controller.list_watch.request_whole_list()
                    for stream in list(discovery.connections):
                        await anyio.aclose_forcefully(stream)
                    await relay.wait_until(lambda: set(relay.lines(1)) == set(listed))

        anyio.run(scenario)

    def test_a_slowly_transferred_list_is_accepted(self):
        """The transfer takes longer than the timeout of the first byte, which does not apply to it."""

        async def scenario():
            async with running_service() as (service, relay, discovery):
                await relay.wait_until(lambda: relay.calls)

                async def serve_slowly(side):
                    while (await side.request()) is not None:
                        body = json.dumps(
                            {"revision": 99, "complete": True, "members": [endpoint_fields("be-9")]}
                        ).encode()
                        header = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
                        await side.stream.send(header + body[:9])
                        await anyio.sleep(1.5 * limits.LIST_FIRST_BYTE_TIMEOUT_NS / 1e9)
                        await side.stream.send(body[9:])
                        await anyio.sleep_forever()

                discovery.serve = serve_slowly
                for stream in list(discovery.connections):
                    await anyio.aclose_forcefully(stream)
                service.controller.list_watch.request_whole_list()
                relay.attach(1, "north")
                await relay.wait_until(lambda: set(relay.lines(1)) == {"be-9"})

        anyio.run(scenario)

    def test_an_agent_that_answers_at_once_does_not_cause_a_busy_loop(self):
        async def scenario():
            async with running_service() as (service, _, discovery):

                async def wait_for_requests(more):
                    while len(discovery.request_targets) < before + more:
                        await anyio.sleep(0.01)

                discovery.answers_watches_at_once, before = True, len(discovery.request_targets)
                for stream in list(discovery.connections):  # closes the pending watch
                    await anyio.aclose_forcefully(stream)
                await wait_for_requests(2)
                first = service.clock.now()
                await wait_for_requests(14)
                self.assertGreater(service.clock.now() - first, 8 * limits.UNCHANGED_BACKOFF_MAX_NS)

        anyio.run(scenario)

    def test_an_answer_from_the_old_address_is_ignored_after_an_address_change(self):
        async def scenario():
            async with running_service() as (service, relay, _):
                await relay.wait_until(lambda: relay.calls)
                held = service.controller.list_watch.revision

                class StubConnection:
                    async def send_request(self, *_):
                        pass

                    async def read_response(self, *_):
                        service.load_configuration = lambda: read_configuration(
                            configuration_json(relay.address, "127.0.0.1:1")
                        )
                        service.reload()
                        return 200, json.dumps({"revision": 99, "complete": True, "members": []}).encode()

                await service.discovery.request_list(StubConnection(), service.configuration.discovery)
                self.assertEqual(
                    (service.controller.list_watch.revision, service.controller.list_watch.needs_whole_list),
                    (held, True),
                )

        anyio.run(scenario)


if __name__ == "__main__":
    unittest.main()
