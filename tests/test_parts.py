"""The parts without I/O: frames, sessions, outbox, pacer, send buffer, admission, channel budget, the
endpoint list's follower and the backend model.
"""

import unittest

import msgspec
from hypothesis import given, settings, strategies as st

from embertray.common.framing import MAX_FRAME_BYTES, FrameDecoder, FrameError, encode_frame
from embertray.controller.channel.admission import (
    CUT_BACKOFF_FIRST_NS,
    CUT_BACKOFF_MAX_NS,
    CUT_HISTORY_NS,
    DRAIN_STEP_NS,
    HANDSHAKES_MAX,
    Admission,
)
from embertray.controller.channel.budget import channel_budget
from embertray.controller.channel.outbox import Outbox
from embertray.controller.channel.pacer import BURST_S, Pacer
from embertray.controller.channel.send_buffer import UNSENT_AGE_MAX_NS, UNSENT_BYTES_MAX, SendBuffer
from embertray.controller.endpoint_list import EndpointListFollower
from embertray.controller.endpoint_list.messages import EndpointEntry, ListRequest, RequestFailed, WatchEvent
from embertray.controller.identifiers import Identifiers
from embertray.controller.stream.exceptions import ProtocolError
from embertray.controller.stream.messages import (
    Acknowledgement,
    BackendTotals,
    Bind,
    Hello,
    Line,
    LoadReport,
    Withdrawal,
    decode_to_proxy,
    encode,
)
from embertray.controller.stream.routing_state import RoutingState
from embertray.controller.stream.session import ControllerSession, ProxySession
from embertray.policy import interface as i
from embertray.service.site import load
from embertray.service.site.schema import SITE_FOLDER as SITES
from embertray.simulation.models.backend import Backend, Shape

S = 10**9
settings.register_profile("same", derandomize=True, deadline=None, max_examples=150)
settings.load_profile("same")
names = st.text(min_size=1, max_size=20)


class Frames(unittest.TestCase):
    @given(
        st.lists(st.binary(min_size=1, max_size=300), max_size=12), st.lists(st.integers(1, 90), max_size=40)
    )
    def test_frames_are_decoded_from_chunks_of_any_size(self, payloads, cuts):
        data, decoder, found = b"".join(map(encode_frame, payloads)), FrameDecoder(), []
        for size in [*cuts, len(data)]:
            found += decoder.feed(data[:size])
            data = data[size:]
        self.assertEqual(found, payloads)
        decoder.end()

    def test_an_oversized_frame_is_rejected_by_its_header(self):
        decoder = FrameDecoder()
        with self.assertRaises(FrameError) as caught:
            decoder.feed(b"\x40\x00\x00\x00" + b"x" * 100)
        self.assertEqual(caught.exception.code, "oversized")
        with self.assertRaises(FrameError):
            encode_frame(b"x" * (MAX_FRAME_BYTES + 1))

    @given(st.binary(max_size=400))
    def test_random_bytes_raise_only_protocol_errors(self, noise):
        for session in (ControllerSession(), ProxySession("p", "z", 1.0, True)):
            try:
                session.receive(noise)
                session.receive(b"")
            except ProtocolError as error:
                self.assertTrue(error.code)

    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats() | st.text(max_size=9),
            lambda inner: (
                st.lists(inner, max_size=5) | st.dictionaries(st.text(max_size=5), inner, max_size=3)
            ),
        ),
        st.sampled_from(["hello", "answer", "sums", "orders", "welcome", "nonsense"]),
    )
    def test_a_session_stays_ended_after_an_invalid_message(self, inner, tag):
        session = ControllerSession()
        payload = msgspec.msgpack.encode([tag, *inner] if isinstance(inner, list) else [tag, inner])
        try:
            session.receive(encode_frame(payload))
        except ProtocolError:
            with self.assertRaises(ProtocolError):
                session.receive(encode_frame(encode(Hello(1, "p", "z"))))


class Sessions(unittest.TestCase):
    def joined_session(self):
        session = ControllerSession()
        session.receive(ProxySession("p", "z", 2.0, True).start())
        return session

    def rejection_code(self, session, message):
        with self.assertRaises(ProtocolError) as caught:
            session.receive(encode_frame(encode(message)))
        return caught.exception.code

    def test_order_of_messages(self):
        self.assertEqual(self.rejection_code(ControllerSession(), Acknowledgement(1)), "order")
        self.assertEqual(self.rejection_code(self.joined_session(), Hello(1, "p", "z")), "order")
        self.assertEqual(self.rejection_code(ControllerSession(), Hello(9, "p", "z")), "version")
        self.assertEqual(self.rejection_code(self.joined_session(), Acknowledgement(3)), "order")
        self.assertEqual(
            self.rejection_code(self.joined_session(), LoadReport(1, [BackendTotals("b", 2, 3)])), "malformed"
        )

    def test_nonces_are_acknowledged_once_and_in_order(self):
        session = self.joined_session()
        for nonce in (1, 2, 3):
            session.sent(nonce)
        self.assertEqual(len(session.receive(encode_frame(encode(Acknowledgement(2))))), 1)
        self.assertEqual(list(session.open_nonces), [3])
        self.assertEqual(self.rejection_code(session, Acknowledgement(1)), "order")

    def test_a_stream_that_ends_within_a_frame_is_reported_as_cut(self):
        session = self.joined_session()
        session.receive(encode_frame(encode(Acknowledgement(1)))[:3])
        with self.assertRaises(ProtocolError) as caught:
            session.receive(b"")
        self.assertEqual(caught.exception.code, "cut")


class Channel(unittest.TestCase):
    def setUp(self):
        self.identifiers = Identifiers()
        self.kind = i.RequestKind(1, 2, external_id="view")
        self.outbox = Outbox(self.identifiers, 4, {self.kind: "view"})
        self.table, self.nonce = i.Table(), i.Nonce()
        self.a, self.b = self.identifiers.backend("a"), self.identifiers.backend("b")
        self.p, self.q = self.identifiers.proxy("p"), self.identifiers.proxy("q")
        for proxy in (self.p, self.q):
            self.outbox.proxy_joined(proxy)

    def build(self, *orders):
        return {proxy.external_id: message for proxy, message, _ in self.outbox.build_messages(7, orders)}

    def test_one_message_for_each_proxy_with_its_cost(self):
        built = self.build(
            i.SetLine(self.table, self.a, 1.0),
            i.SetAdmission(self.table, [], 0.5, 1),
            i.Bind(self.p, self.table),
            i.RequestAcknowledgement(self.nonce),
        )
        self.assertEqual(list(built), ["p"])
        self.assertEqual(built["p"].cost, 4 + 1 + 1 + 1 + 1)  # head, bind, a line, a level, the nonce
        self.assertEqual(built["p"].do, [Bind(1, [("a", 1.0)], [("view", 0.5, 1)], [])])
        built = self.build(i.SetLine(self.table, self.b, 0.5), i.SetLine(self.table, self.a, 0))
        self.assertEqual((list(built), built["p"].cost), (["p"], 6))

    def test_withdrawals_reach_proxies_with_the_backend_and_later_tables(self):
        self.build(i.SetLine(self.table, self.a, 1.0), i.Bind(self.p, self.table))
        self.assertEqual(list(self.build(i.Withdraw(self.b, True))), ["q"])  # p's table has no b
        built = self.build(i.SetLine(self.table, self.b, 1.0))
        self.assertEqual(built["p"].do, [Withdrawal("b", True), Line(1, "b", 1.0)])
        self.assertEqual(sorted(self.build(i.Withdraw(self.b, False))), ["p", "q"])
        self.assertEqual(self.build(i.Withdraw(self.b, False)), {})

    def test_a_proxy_that_left_gets_no_message(self):
        self.build(i.SetLine(self.table, self.a, 1.0), i.Bind(self.p, self.table))
        self.outbox.proxy_left(self.p)
        self.assertEqual(self.build(i.SetLine(self.table, self.a, 2.0), i.Bind(self.p, self.table)), {})

    @given(
        st.lists(
            st.tuples(
                st.sampled_from("ab"),
                st.sampled_from(["line", "gone", "out", "in", "bind", "join"]),
                st.sampled_from("pq"),
            ),
            max_size=40,
        )
    )
    def test_the_routing_state_of_a_proxy_matches_the_orders(self, steps):
        """Whatever the sequence of orders, a bound proxy may send to the lines of its table except withdrawn
        backends.
        """
        self.setUp()
        states = {"p": RoutingState(), "q": RoutingState()}
        for backend, what, proxy in steps:
            backend, proxy = self.identifiers.backend(backend), self.identifiers.proxy(proxy)
            order = {
                "line": i.SetLine(self.table, backend, 1.0),
                "gone": i.SetLine(self.table, backend, 0),
                "out": i.Withdraw(backend, True),
                "in": i.Withdraw(backend, False),
                "bind": i.Bind(proxy, self.table),
            }.get(what)
            if order is None:
                self.outbox.proxy_joined(proxy)
                states[proxy.external_id] = RoutingState()
                continue
            for name, message in self.build(order).items():
                states[name].apply(decode_to_proxy(encode(message)))
            lines = {
                one.external_id
                for one in self.outbox.ordered_table(self.table).lines
                if one not in self.outbox.withdrawn
            }
            for proxy, table in self.outbox.bound.items():
                if table is not None:
                    self.assertEqual(set(states[proxy.external_id].routable_lines()), lines)

    @given(st.lists(st.tuples(st.integers(0, 3 * 10**8), st.integers(1, 80)), min_size=1, max_size=60))
    def test_the_channel_never_exceeds_its_rate(self, messages):
        rate, pacer, now, left, total = 200.0, Pacer(200.0), 0, [], 0
        for gap, cost in messages:
            now += gap
            pacer.enqueue(now, "p", cost, cost)
            total += cost
            left += [(now, load) for _, load in pacer.dequeue(now)]
        while (when := pacer.next_release()) is not None:
            left += [(when, load) for _, load in pacer.dequeue(when)]
        self.assertEqual([cost for _, cost in left], [cost for _, cost in messages])
        self.assertEqual(pacer.lines_waiting, 0)
        for n, (start, _) in enumerate(left):
            carried = 0
            for at, cost in left[n + 1 :]:
                carried += cost
                self.assertLessEqual(carried, (at - start) / S * rate + BURST_S * rate + 1e-3)

    def test_messages_of_a_proxy_that_left_are_dropped(self):
        pacer = Pacer(10.0)
        for proxy in (self.p, self.q, self.p):
            pacer.enqueue(0, proxy, 10, proxy.external_id)
        self.assertEqual((pacer.lines_waiting, pacer.next_release()), (30, S))
        pacer.drop_proxy(S // 2, self.p)
        self.assertEqual((pacer.lines_waiting, pacer.next_release()), (10, S * 3 // 2))
        self.assertEqual(pacer.dequeue(S * 3 // 2), [(self.q, "q")])

    def test_a_slower_pace_applies_at_once(self):
        pacer = Pacer(10.0)
        pacer.enqueue(0, "p", 10, 1)
        pacer.set_pace(S // 2, 0.5)
        self.assertEqual(pacer.next_release(), S // 2 + S)
        for bad in (0, -1, 1.5, float("nan")):
            with self.assertRaises(ValueError):
                pacer.set_pace(S, bad)

    def test_a_stall_causes_no_burst(self):
        pacer = Pacer(1000.0)
        for _ in range(100):
            pacer.enqueue(0, "p", 10, 1)
        self.assertLessEqual(len(pacer.dequeue(60 * S)), 1 + 1000 * BURST_S / 10)

    def test_slow_readers_are_cut_by_bytes_and_by_age(self):
        send_buffer = SendBuffer()
        send_buffer.message_queued(0, UNSENT_BYTES_MAX + 1)
        self.assertIsNone(send_buffer.overdue_reason(0))  # a single large message may exceed the limit
        send_buffer.message_queued(0, 1)
        self.assertIn("bytes", send_buffer.overdue_reason(0))
        send_buffer.message_written()
        self.assertIsNone(send_buffer.overdue_reason(UNSENT_AGE_MAX_NS))
        self.assertIn("not read the oldest order", send_buffer.overdue_reason(UNSENT_AGE_MAX_NS + 1))

    def test_the_backoff_of_cut_proxies_doubles_up_to_its_limit(self):
        admission, now, delays = Admission(lambda: 1.0), 0, []
        for _ in range(9):
            admission.record_cut(now, "p")
            delays.append(admission.admit(now, "p").retry_after)
            now += delays[-1]
            self.assertIsNone(admission.admit(now, "p"))
        self.assertEqual(
            delays[:3], [CUT_BACKOFF_FIRST_NS, 2 * CUT_BACKOFF_FIRST_NS, 4 * CUT_BACKOFF_FIRST_NS]
        )
        self.assertEqual(delays[-1], CUT_BACKOFF_MAX_NS)
        admission.record_cut(now + 2 * CUT_HISTORY_NS, "q")
        self.assertEqual(list(admission.cuts), ["q"])  # p's record has expired

    def test_handshakes_are_limited_and_a_drain_closes_streams_in_steps(self):
        admission = Admission(lambda: 0.0)
        self.assertEqual([admission.stream_opened() for _ in range(HANDSHAKES_MAX)], [None] * HANDSHAKES_MAX)
        self.assertEqual(admission.stream_opened().code, "later")
        admission.handshake_ended()
        self.assertIsNone(admission.stream_opened())
        admission.drain(0)
        self.assertEqual(admission.admit(0, "p").code, "draining")
        self.assertEqual(admission.streams_to_close(0, 10), (1, DRAIN_STEP_NS))
        self.assertEqual(admission.streams_to_close(3 * DRAIN_STEP_NS, 10)[0], 3)


class Budgets(unittest.TestCase):
    def test_sample_sites_have_no_warnings_and_the_suggested_rates_are_enough(self):
        for name in ("pushed", "asked", "sealed"):
            site = load(SITES / "samples" / f"{name}.xml")
            self.assertEqual(channel_budget(site).warnings, [], name)
            large = site.at(proxies=600, backends=600)
            warnings = channel_budget(large).warnings
            self.assertTrue(warnings, name)
            for wanted in (
                float(text.split(": ")[-1].split(" lines")[0]) for text in warnings if "would" in text
            ):
                large = large.at(channel_rate=max(large.channel_rate, 1.01 * wanted))
            self.assertEqual([text for text in channel_budget(large).warnings if "would" in text], [], name)

    def test_channel_times_of_a_site(self):
        site = load(SITES / "samples" / "pushed.xml").at(
            proxies=100, backends=50, head=4.0, channel_rate=1000.0
        )
        found = channel_budget(site)
        self.assertEqual(
            (found.removal, found.bind_one, found.bind_all), (6 * S // 10, 58 * S // 1000, 58 * S // 10)
        )
        self.assertIn("can hardly be bound", channel_budget(site.at(pending_max=80.0)).warnings[-1])


class EndpointListUpdates(unittest.TestCase):
    def test_changes_after_a_gap_are_not_applied(self):
        follower = EndpointListFollower()
        complete = [EndpointEntry("a", "z"), EndpointEntry("b", "z")]
        self.assertEqual(follower.receive(WatchEvent(5, 0, 0, complete)).kind, "whole")
        self.assertEqual(
            follower.receive(WatchEvent(6, 5, 0, [EndpointEntry("a", "z", "gone")])).kind, "changes"
        )
        self.assertEqual(list(follower.entries), ["b"])
        update = follower.receive(WatchEvent(9, 8, 0, [EndpointEntry("b", "z", "gone")]))
        self.assertEqual((update.kind, update.entries), ("gap", []))
        self.assertEqual((follower.epoch, list(follower.entries)), (6, ["b"]))
        self.assertEqual(follower.next_request(0, complete=True), ListRequest())
        self.assertEqual(follower.receive(RequestFailed()).kind, "failed")


class Models(unittest.TestCase):
    def test_a_backend_queues_rejects_when_full_and_warms_up(self):
        backend = Backend("a", "z", Shape(cores=1, queue=1, cold_speed=0.5, warm_up_time=10 * S))
        backend.start(0, cold=False)
        self.assertEqual([backend.offer(0, n, "view", S, None) for n in range(3)], [None, None, "full"])
        self.assertEqual((backend.next_at(), backend.advance(S), backend.advance(2 * S)), (S, [0], [1]))
        backend.start(3 * S, cold=True)
        backend.offer(3 * S, 9, "view", S, None)
        self.assertEqual(backend.next_at(), 5 * S)
        backend.faults.hang = True
        self.assertEqual(backend.advance(9 * S), [])


if __name__ == "__main__":
    unittest.main()
