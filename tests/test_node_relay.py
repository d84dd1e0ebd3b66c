"""The relay: what calls, their answers and the news of proxies mean, by bytes and times."""

import unittest

import anyio
from platform_stage import ERROR, GOOD, MS, S, stage

from embertray.platform.protocol import limits
from embertray.platform.protocol.calls import Caller, Rejected, Taken, Unreadable, read_answer
from embertray.platform.protocol.news import Attach, Detach, Done, News, Standing


class Calls(unittest.TestCase):
    def caller(self):
        caller = Caller(200 * MS)
        caller.put(["SET,1,be-1,1", "USE,3,1,*", "USE,4,1,*"], 7, "SYNC,7,{}".format)
        return caller

    def test_answers(self):
        self.assertEqual(read_answer(200, b'<?xml version="1.0"?>\n' + GOOD % 2), Taken(2))
        self.assertEqual(read_answer(503, ERROR % b"throttled"), Rejected("throttled"))
        for spoilt in (
            b"",
            b"<Response><items><it",
            GOOD % 2 + b"x",
            GOOD.replace(b"%d", b"-1"),
            GOOD.replace(b"%d", b""),
            b"\xff" * 9,
            b"<Response/>",
            (GOOD % 2).replace(b"Response", b"R"),
            b"x" * (limits.ANSWER_MOST + 1),
            GOOD.replace(b"%d", "²".encode()),
            GOOD.replace(b"%d", b"9" * 5000),
        ):
            with self.assertRaises(Unreadable):
                read_answer(200, spoilt)

    def test_one_call_and_its_answer(self):
        caller = self.caller()
        call = caller.due(0)
        self.assertEqual(call.orders, ["SET,1,be-1,1", "USE,3,1,*", "USE,4,1,*", "SYNC,7,0"])
        self.assertEqual(call.body()[:37], b"Action=CommitChanges&orders=SET%2C1%2")
        self.assertEqual((caller.answered(0, 200, GOOD % 4), caller.idle), ("", True))

    def test_more_taken_than_was_sent_proves_nothing(self):
        caller = self.caller()
        caller.due(0)
        self.assertTrue(caller.answered(0, 200, GOOD % 5))
        self.assertIsNone(caller.due(100 * MS))
        self.assertEqual(
            caller.due(200 * MS + limits.EVIDENCE).orders[0], "SET,1,be-1,1"
        )  # nobody answered its mark: again

    def test_a_refused_order_is_left_out_and_the_rest_goes_on(self):
        caller = self.caller()
        caller.due(0)
        caller.answered(0, 200, GOOD % 1)
        self.assertEqual(
            caller.due(0).orders, ["USE,4,1,*", "SYNC,7,1"]
        )  # who got the first part answers, too

    def test_a_rejected_call_waits_longer_each_time(self):
        caller, now, waits = self.caller(), 0, []
        for _ in range(6):
            self.assertIsNotNone(caller.due(now))
            caller.answered(now, 503, ERROR % b"throttled")
            waits.append(caller.at - now)
            now = caller.at
        self.assertEqual(waits, sorted(waits))
        self.assertEqual((waits[0], waits[-1]), (limits.AGAIN_FIRST, limits.AGAIN_MOST))
        self.assertEqual(caller.due(now).orders, self.caller().due(0).orders)
        self.assertEqual(caller.lost, 0)

    def rejected(self, spoils, word=b"invalid"):
        """Plays a caller against a relay that takes no call with an order that `spoils(order)`: (caller,
        orders taken, lines for the log)."""
        caller, taken, said, now = self.caller(), [], [], 0
        for _ in range(100):
            if caller.idle:
                return caller, taken, said
            now = max(now, caller.at)
            orders = list(caller.due(now).orders)
            if any(map(spoils, orders)):
                said.append(caller.answered(now, 400, ERROR % word))
            else:
                taken += orders
                said.append(caller.answered(now, 200, GOOD % len(orders)))
        self.fail("the calls have no end")

    def test_an_invalid_call_goes_again_in_halves_and_costs_what_makes_it_so(self):
        orders = ["SET,1,be-1,1", "USE,3,1,*", "USE,4,1,*", "SYNC,7,1"]  # all are to answer: it was parted
        for word in (b"invalid", b"unheard"):
            for bad in orders:
                caller, taken, said = self.rejected(lambda order, bad=bad: order[:5] == bad[:5], word)
                self.assertEqual((taken, caller.lost), ([one for one in orders if one != bad], 1))
                named = [line for line in said if "given up" in line]
                self.assertEqual(len(named), 1)
                self.assertIn(bad[:5], named[0])
        once = iter([True])
        caller, taken, _ = self.rejected(lambda order: next(once, False))
        self.assertEqual((taken, caller.lost), (orders, 0))  # it was the answer that was wrong
        caller, taken, _ = self.rejected(lambda order: True)
        self.assertEqual((taken, caller.lost), ([], len(orders)))

    def test_an_unanswered_call_goes_again_only_without_evidence(self):
        for evidence in (None, 100 * MS):
            caller = self.caller()
            caller.due(0)
            caller.broke(0, True, "closed")
            self.assertIsNone(caller.due(100 * MS))
            if evidence:
                self.assertTrue(caller.saw(7))
                self.assertIsNone(caller.due(evidence))
                self.assertTrue(caller.idle)
            else:
                self.assertFalse(caller.saw(6))
                self.assertEqual(caller.due(200 * MS + limits.EVIDENCE).nonce, 7)
                self.assertFalse(caller.idle)

    def test_a_call_that_was_not_sent_goes_again_soon(self):
        caller = self.caller()
        caller.due(0)
        caller.broke(0, False, "refused")
        self.assertEqual(caller.due(limits.AGAIN_FIRST).nonce, 7)

    def test_many_orders_go_in_several_calls(self):
        caller = Caller(0)
        caller.put([f"USE,{k},1,*" for k in range(9000)], 5, "SYNC,5,{}".format)
        sizes = [len(";".join(call.orders)) for call in caller.queue]
        self.assertTrue(len(sizes) > 1 and max(sizes) <= limits.ORDERS_MOST)
        self.assertEqual([call.nonce for call in caller.queue], [None] * (len(sizes) - 1) + [5])
        self.assertEqual(caller.queue[-1].orders[-1], "SYNC,5,1")

    def test_a_call_is_measured_in_bytes_and_is_never_empty(self):
        caller = Caller(0)
        caller.put([f"SET,1,{'é' * 100}-{k},1" for k in range(500)] + [f"SET,1,{'x' * 70_000},1"])
        sizes = [len(";".join(call.orders).encode()) for call in caller.queue]
        self.assertLessEqual(max(sizes[:-1]), limits.ORDERS_MOST)
        caller = Caller(0)
        caller.put([f"SET,1,{'x' * 70_000},1"])
        self.assertEqual([len(call.orders) for call in caller.queue], [1])


class Relayed(unittest.TestCase):
    def test_news_in_any_pieces(self):
        data = (
            b":\n\nevent: attach\ndata: node=17&locality=north&w=21.5&cold=1\n\nevent: "
            b"done\r\ndata: node=17&nonce=905&latency=310.4\r\n\r\n"
            b"event: attach\ndata: node=40&locality=north&w=1&cold=0\n\nevent: attach\ndata: "
            b"node=x\n\nevent: detach\ndata: node=17\n\n"
        )
        told = [Attach(17, "north", 21.5, True), Done(17, 905, 310_400_000), Detach(17)]
        news, bits = News(["north"], 40), News(["north"], 40)
        self.assertEqual(news.receive(data), told)
        self.assertEqual([one for k in range(len(data)) for one in bits.receive(data[k : k + 1])], told)
        self.assertEqual(news.skipped, 2)
        with self.assertRaises(Unreadable):
            news.receive(b"x" * (limits.EVENT_MOST + 1))

    def standing(self):
        """Two connections on which proxies 1 and 2 stand, both past their opening; 'a' leads."""
        standing, both = Standing(), [Attach(1, "north", 1.0, True), Attach(2, "north", 1.0, True)]
        standing.opened(0, "a")
        first = standing.took(0, "a", both) + standing.took(limits.OPENING, "a", [])
        standing.opened(limits.OPENING, "b")
        self.assertEqual(standing.took(limits.OPENING, "b", both) + standing.took(S, "b", []), [])
        return standing, first, both

    def test_what_stands_is_told_once(self):
        _, first, both = self.standing()
        self.assertEqual(first, both)

    def test_the_other_connection_takes_over_without_a_word(self):
        standing, _, _ = self.standing()
        self.assertEqual(standing.lost(2 * S, "a"), [])
        self.assertEqual(standing.took(2 * S, "b", [Detach(1)]), [Detach(1)])

    def test_what_only_the_other_heard_is_told_when_it_takes_over(self):
        standing, _, both = self.standing()
        third = Attach(3, "south", 2.0, False)
        self.assertEqual(standing.took(2 * S, "b", [Detach(1), both[0], Detach(2), third]), [])
        self.assertEqual(standing.lost(3 * S, "a"), [Detach(2), Detach(1), both[0], third])

    def test_answers_to_marks_count_from_either(self):
        standing, _, _ = self.standing()
        self.assertEqual(standing.took(2 * S, "b", [Done(1, 7, 5), Done(9, 7, 5)]), [Done(1, 7, 5)])

    def test_a_silent_connection_is_given_up_sooner_beside_a_lively_one(self):
        standing, _, _ = self.standing()
        standing.took(2 * S, "b", [])
        self.assertTrue(standing.quiet(2 * S, "a"))
        self.assertFalse(standing.quiet(2 * S, "b"))
        standing.lost(2 * S, "a")
        self.assertFalse(standing.quiet(2 * S + limits.QUIET_MOST, "b"))
        self.assertTrue(standing.quiet(2 * S + limits.QUIET_MOST + 1, "b"))

    def test_a_gap_without_news_leaves_who_still_holds_a_table(self):
        standing, _, both = self.standing()
        third = Attach(3, "north", 1.0, True)
        standing.took(2 * S, "a", [third])
        standing.took(2 * S, "b", [third])
        self.assertEqual(standing.lost(2 * S, "b") + standing.lost(2 * S, "a"), [])
        standing.opened(3 * S, "a")
        self.assertEqual(standing.took(3 * S, "a", [both[0]._replace(fresh=False), third]), [])
        self.assertEqual(standing.next_at(), 3 * S + limits.OPENING)
        self.assertEqual(standing.lead(3 * S + limits.OPENING), [Detach(2), Detach(3), third])

    def test_no_gap_leaves_who_held_no_table_when_the_other_connection_opened(self):
        standing, _, _ = self.standing()
        self.assertEqual(standing.lost(3 * S, "a"), [])

    def test_who_leaves_and_comes_back_while_the_next_leader_opens_is_told(self):
        standing, _, both = self.standing()
        standing.lost(2 * S, "b")
        standing.opened(2 * S, "b")
        standing.took(2 * S, "b", both)
        standing.lost(2 * S, "a")
        standing.took(2 * S + MS, "b", [Detach(1), both[0]])
        self.assertEqual(standing.lead(2 * S + limits.OPENING), [Detach(1), both[0]])


class OnSockets(unittest.TestCase):
    def test_what_comes_with_the_end_of_the_news_counts(self):
        async def play():
            async with stage() as (service, relay, _):
                relay.attach(1, "north")
                await relay.until(lambda: relay.lines(1) and len(relay.streams) == limits.STREAMS)
                relay.attach(2, "north")
                while any(relay.streams):  # until the relay has sent it; nobody else has run since
                    await anyio.lowlevel.checkpoint()
                del relay.joined[2]  # it is told once, by the last bytes
                for stream in list(relay.open):
                    await anyio.aclose_forcefully(stream)
                await relay.until(
                    lambda: any(order.startswith("USE,2,") for _, orders in relay.calls for order in orders)
                )
                await relay.until(lambda: len(relay.streams) == limits.STREAMS)
                while 2 in service.post.standing.joined:
                    await anyio.sleep(0.02)  # and is known to have left once what stands was told

        anyio.run(play)

    def test_who_left_and_came_back_while_no_news_came_is_bound_again(self):
        async def play():
            async with stage() as (service, relay, _):
                for node in (1, 2):
                    relay.attach(node, "north")
                await relay.until(
                    lambda: relay.lines(1) and relay.lines(2) and len(relay.streams) == limits.STREAMS
                )
                while (
                    relay.joined[1].endswith("1")
                    or service.post.module.publisher.queue.due_at
                    or any(proxy.messages.open for proxy in service.post.module.proxies)
                ):
                    await anyio.sleep(0.05)  # until nothing is on its way that would miss an answer
                at = dict(service.post.standing.at)
                binds = sum(order.startswith("USE,2,") for _, orders in relay.calls for order in orders)
                del relay.bound[1]  # nobody is told
                relay.joined[1] = relay.joined[1].replace("cold=0", "cold=1")
                for stream in list(relay.open):
                    await anyio.aclose_forcefully(stream)
                # by the news, not by the next mark that it misses: that may be long in coming
                await relay.until(lambda: service.post.standing.at[1] > at[1] and relay.lines(1))
                self.assertEqual(service.post.standing.at[2], at[2])
                self.assertEqual(
                    sum(order.startswith("USE,2,") for _, orders in relay.calls for order in orders), binds
                )

        anyio.run(play)


if __name__ == "__main__":
    unittest.main()
