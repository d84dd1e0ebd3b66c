"""Property tests of all parsers of the platform's protocol: arbitrary bytes, split and truncated anywhere."""

import contextlib
import json
import unittest

from hypothesis import given, settings, strategies as st
from platform_fixtures import (
    ACCEPTED_ANSWER,
    BACKEND_REPORT_LINE,
    ERROR,
    EXPECTED_REPORTS,
    JOIN_LINE,
    MS,
    TRAFFIC_REPORT_LINE,
    S,
    configuration_json,
    endpoint_fields,
    inbound_connection,
)

from embertray.platform.protocol import limits
from embertray.platform.protocol.answers import CallRejected, OrdersAccepted, read_answer
from embertray.platform.protocol.configuration import read_configuration
from embertray.platform.protocol.endpoint_list import EndpointListWatch
from embertray.platform.protocol.event_stream import (
    EventStreamParser,
    NonceAcknowledged,
    ProxyJoined,
    ProxyLeft,
)
from embertray.platform.protocol.exceptions import (
    ConfigurationError,
    UnreadableAnswerError,
    UnreadableEventStreamError,
    UnreadableListError,
)
from embertray.platform.protocol.inbound import BackendReport, TrafficReport
from embertray.platform.protocol.order_caller import OrderCaller
from embertray.platform.protocol.proxy_registry import ProxyRegistry
from embertray.platform.protocol.wire import HEARTBEAT_REPLY, REJECTION

GENERATED = settings(max_examples=400, deadline=None, derandomize=True)
NUMBERS = st.one_of(
    st.integers(-2, 10**7), st.floats(), st.just(10**400), st.sampled_from(["", "²", "x", None, [], {}, True])
)
WORDS = st.sampled_from(["north", "nowhere", "view", "be-1", "", "x" * 300, None, 7])
LINES = st.one_of(
    st.sampled_from(
        [
            JOIN_LINE,
            BACKEND_REPORT_LINE,
            TRAFFIC_REPORT_LINE,
            b'{"@type":"hb"}\n',
            b"\n",
            b"\xff\n",
            b"[" * 5000 + b"\n",
            b'{"@type":"attach"}\n',
        ]
    ),
    st.binary(max_size=60),
    st.builds(
        lambda total, errors: BACKEND_REPORT_LINE.replace(
            b'"total":9,"errors":1', b'"total":%d,"errors":%d' % (total, errors)
        ),
        st.integers(-1, 9),
        st.integers(-1, 9),
    ),
    st.builds(
        lambda **line: json.dumps(line).replace("kind", "@type").encode() + b"\n",
        kind=st.sampled_from(["telemetry", "upstream_stats", "client_stats", "hb", "done"]),
        locality=WORDS,
        endpoint=WORDS,
        route=WORDS,
        node=NUMBERS,
        total=NUMBERS,
        errors=NUMBERS,
        rtt=NUMBERS,
        interval=NUMBERS,
        metrics=st.one_of(st.none(), st.dictionaries(st.text(max_size=5), NUMBERS, max_size=3)),
    ),
)


def split_at(data, cuts):
    edges = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False) if a < b]


class AddressInput(unittest.TestCase):
    @GENERATED
    @given(
        st.sampled_from([b"", JOIN_LINE]),
        st.lists(LINES, max_size=12),
        st.lists(st.integers(0, 10**6), max_size=8),
    )
    def test_lines_may_be_split_at_any_byte_and_the_buffer_is_bounded(self, first, lines, cuts):
        data, whole, parts = first + b"".join(lines), inbound_connection(), inbound_connection()
        found, piecewise = whole.receive(data) if data else [], []
        for piece in split_at(data, cuts):
            piecewise += parts.receive(piece)
            self.assertLessEqual(len(parts.buffer), limits.LINE_MAX_BYTES)
        self.assertEqual(
            (piecewise, parts.outgoing, parts.zone, parts.invalid_reports),
            (found, whole.outgoing, whole.zone, whole.invalid_reports),
        )
        for report in found:
            self.assertIsInstance(report, (BackendReport, TrafficReport))
            self.assertTrue(
                0
                <= (report.failures if isinstance(report, BackendReport) else report.failures)
                <= (report.attempts if isinstance(report, BackendReport) else report.requests)
            )
        late = whole.check_join_deadline(limits.JOIN_TIMEOUT_NS)
        self.assertTrue(late or whole.zone)  # by then a peer has joined or is closed
        if whole.zone is None and whole.close_reason:
            self.assertTrue(whole.outgoing.endswith(REJECTION))
        whole.receive(b"")
        self.assertTrue(whole.close_reason)

    @GENERATED
    @given(st.binary(max_size=200), st.lists(st.integers(0, 10**6), max_size=8))
    def test_valid_lines_count_whatever_data_follows(self, garbage, cuts):
        connection, found = inbound_connection(), []
        for piece in split_at(JOIN_LINE + BACKEND_REPORT_LINE + TRAFFIC_REPORT_LINE, cuts) + [
            b"\xff\n" + garbage
        ]:
            found += connection.receive(piece)
        self.assertEqual(
            (found, connection.zone, connection.outgoing.replace(HEARTBEAT_REPLY, b"")),
            (EXPECTED_REPORTS, "north", b""),
        )


class RelayInput(unittest.TestCase):
    @GENERATED
    @given(
        st.one_of(
            st.binary(max_size=80),
            st.one_of(st.text(max_size=20), st.sampled_from(["²", "٣", "9" * 5000, "+1", "1_0"])).map(
                lambda text: ACCEPTED_ANSWER.replace(b"%d", text.encode())
            ),
            st.integers(-3, 10**30).map(lambda n: ACCEPTED_ANSWER.replace(b"%d", b"%d" % n)),
            st.tuples(st.just(ACCEPTED_ANSWER % 2), st.integers(0, 90)).map(lambda cut: cut[0][: cut[1]]),
            st.sampled_from([ERROR % word for word in (b"invalid", b"throttled", b"unheard")]),
        ),
        st.sampled_from([200, 400, 503]),
    )
    def test_an_answer_removes_exactly_the_accepted_orders(self, body, status):
        caller = OrderCaller(0)
        orders = ["SET,1,be-1,1", "USE,3,1,*", "SYNC,7,0"]
        caller.enqueue(orders[:2], 7, "SYNC,7,{}".format)
        caller.next_call(0)
        caller.on_answer(0, status, body)
        left = [order for call in caller.queue for order in call.orders]
        try:
            answer = read_answer(status, body)
        except UnreadableAnswerError:
            answer = None
        if isinstance(answer, OrdersAccepted) and answer.count <= len(orders):
            # without the last digit: the acknowledgement may now be requested from all proxies
            self.assertEqual(
                [order[:-1] for order in left], [order[:-1] for order in orders[answer.count + 1 :]]
            )
        elif answer == CallRejected("invalid"):
            self.assertEqual(left, [*orders[:2], "SYNC,7,1"])
        else:
            self.assertEqual(left, orders)

    @GENERATED
    @given(
        st.lists(
            st.one_of(
                st.binary(max_size=40),
                st.sampled_from(
                    [
                        b"event: attach\ndata: node=1&locality=north&w=2&cold=1\n\n",
                        b"event: detach\ndata: node=1\n\n",
                        b":\n",
                        b"data: x\n\n",
                        b"event: done\ndata: node=1&nonce=4&latency=1e400\n\n",
                        b"event: done\ndata: node=1&nonce=4&latency=nan\n\n",
                        b"event: attach\ndata: node=\xd9\xa1&locality=north&w=inf&cold=1\n\n",
                        b"event: done\ndata: node=1&nonce=" + b"9" * 5000 + b"\n\n",
                    ]
                ),
            ),
            max_size=12,
        ),
        st.lists(st.integers(0, 10**6), max_size=8),
    )
    def test_events_may_be_split_at_any_byte(self, events, cuts):
        data, parsed_streams = b"".join(events), []
        for stream in ([data], split_at(data, cuts)):
            parser, found = EventStreamParser(["north"], 40), []
            try:
                for piece in stream:
                    found += parser.receive(piece)
            except UnreadableEventStreamError:
                found = None
            parsed_streams.append(found)
        if None not in parsed_streams:
            self.assertEqual(*parsed_streams)
        for event in parsed_streams[0] or ():
            self.assertTrue(
                isinstance(event, (ProxyJoined, ProxyLeft, NonceAcknowledged)) and 0 <= event.proxy < 40
            )

    @GENERATED
    @given(
        st.lists(
            st.tuples(
                st.sampled_from("ab"),
                st.sampled_from(["open", "lose", "wait", "in", "out", "done"]),
                st.integers(0, 2),
            ),
            min_size=10,
            max_size=60,
        )
    )
    def test_proxy_events_form_one_consistent_sequence(self, actions):
        """However streams open and break, no proxy joins twice or leaves before it joined; in the end
        the registry matches the leader's view.
        """
        registry, now, open_streams, joined = ProxyRegistry(), 0, set(), set()
        for stream, action, proxy in actions:
            now += 100 * MS
            found = []
            if action == "open" and stream not in open_streams:
                registry.stream_opened(now, stream)
                open_streams.add(stream)
            elif action == "lose":
                open_streams.discard(stream)
                found = registry.stream_lost(now, stream)
            elif stream in open_streams:
                events = {
                    "in": [ProxyJoined(proxy, "north", 1.0, True)],
                    "out": [ProxyLeft(proxy)],
                    "done": [NonceAcknowledged(proxy, 1, 1)],
                }.get(action, [])
                found = registry.received(now, stream, events)
            for event in found:
                if isinstance(event, ProxyJoined):
                    self.assertNotIn(event.proxy, joined)
                    joined.add(event.proxy)
                elif isinstance(event, ProxyLeft):
                    self.assertIn(event.proxy, joined)
                    joined.remove(event.proxy)
                else:
                    self.assertIn(event.proxy, joined)
        self.assertEqual(joined, set(registry.joined))
        if registry.leader in registry.views:
            self.assertEqual(joined, set(registry.views[registry.leader].joined))


class DiscoveryInput(unittest.TestCase):
    @GENERATED
    @given(
        st.one_of(
            st.binary(max_size=80),
            st.builds(
                lambda members, **more: json.dumps({"members": members, **more}).encode(),
                members=st.one_of(
                    NUMBERS,
                    st.lists(
                        st.builds(
                            endpoint_fields,
                            WORDS,
                            WORDS,
                            phase=st.sampled_from(["ready", "draining", "gone", "x", None]),
                            size=NUMBERS,
                            up_since_ms=NUMBERS,
                        ),
                        max_size=3,
                    ),
                ),
                revision=NUMBERS,
                complete=st.sampled_from([True, False, None, 1]),
            ),
        ),
        st.sampled_from([200, 404]),
        st.integers(0, 10**6),
    )
    def test_a_list_is_accepted_or_requested_again(self, body, status, cut):
        for data in (body, body[: cut % (len(body) + 1)]):
            watch = EndpointListWatch(3)
            watch.next_request(0)
            try:
                update = watch.on_answer(S, status, data)
                self.assertTrue(update is None or update[0] in ("whole", "changes"))
                self.assertTrue(status == 200 and watch.revision >= 3)
                for endpoint in update[1] if update else ():
                    self.assertTrue(
                        endpoint.backend
                        and endpoint.state in ("ready", "draining", "gone")
                        and endpoint.nominal >= 0 <= endpoint.started
                    )
            except UnreadableListError:
                self.assertEqual((watch.revision, watch.needs_whole_list), (3, True))
            self.assertLessEqual(max(watch.request_delay(), watch.on_failure()), limits.BACKOFF_MAX_NS)

    @GENERATED
    @given(
        st.one_of(
            st.binary(max_size=60),
            st.integers(0, 10**6).map(lambda cut: configuration_json()[: cut % len(configuration_json())]),
        )
    )
    def test_a_configuration_is_decoded_or_rejected(self, data):
        with contextlib.suppress(ConfigurationError):
            read_configuration(data).known_list()


if __name__ == "__main__":
    unittest.main()
