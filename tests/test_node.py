"""The controller on the platform: its protocol by bytes and times, and the whole of it against stand-ins on loopback."""
import json
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from contextlib import asynccontextmanager
from pathlib import Path

import anyio

from embertray.briefing import BadBriefing, Briefing
from embertray.days.player import quiet
from embertray.door import Door
from embertray.net.address import BadAddress, plain
from embertray.net.clock import LoopClock
from embertray.net.tcp import TcpNet
from embertray.node.service import Service
from embertray.platform import limits
from embertray.platform.discovery import Follow, Unreadable as BadList
from embertray.platform.port import ALIVE, TURNED_AWAY, Came, Met, Port
from embertray.platform.post import Post
from embertray.platform.relay import Attach, Caller, Detach, Done, News, Standing, Unreadable, verdict
from embertray.platform.start import BadStart, read
from embertray.standin.platform import StandinDiscovery, StandinRelay

HERE = Path(__file__).resolve().parent
MS, S = 10**6, 10**9
SETTINGS = {
    "az": "north", "balancers": 1, "discovery": "push", "feedback": {"fields": ["waiting", "avg_ms"], "how": "piggyback"},
    "contract": {"cold-from": 0.2, "drain-grace-us": 3000000, "fall-multiple": 4.0, "fall-us": 3000000, "warm-after-us": 5000000},
    "profiles": [{"name": "view", "aim-us": 800000, "deadline-us": 2000000, "effect": "read_like", "worth": 1.0},
                 {"name": "pay", "aim-us": 800000, "deadline-us": 2000000, "effect": "non_idempotent", "worth": 2.0}],
    "specifics": {"agents": 40, "channel-rate": 4000.0, "pending-max": 4000.0, "head": 6.0, "throttle-by": "share",
                  "push-delay-us": 100000, "push-delay-max-us": 200000, "cycle-us": 1000000, "messages-most": 0},
    "tick-us": 1000, "zones": ["north", "south"]}
GOOD = b"<Response><items><item><ok_count>%d</ok_count></item></items></Response>"
ERROR = b"<Response><Errors><Error><Code>%s</Code></Error></Errors></Response>"


def member(ident, zone="north", **more):
    return {"id": ident, "locality": zone, "phase": "ready", "size": 1.0, "up_since_ms": 0, **more}


def configured(relay="127.0.0.1:1", discovery="127.0.0.1:1", listen="127.0.0.1:0", **more):
    return json.dumps({"name": "n1", "listen": listen, "discovery": discovery, "store": {"address": relay}, "seed": "8c1f",
                       "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "settings": SETTINGS,
                       "known": {"revision": 0, "complete": True, "members": [member("be-1"), member("be-2")]}, **more}).encode()


def port():
    return Port(0, ["north", "south"], {"view": 0}, 40)


JOIN = b'{"@type":"telemetry","locality":"north"}\n'
STATS = (b'{"@type":"upstream_stats","locality":"north","endpoint":"be-1","total":9,"errors":1,"rtt":41.5,"interval":1000.0,'
         b'"metrics":{"queue":3,"util":0.5}}\n')
USAGE = b'{"@type":"client_stats","node":17,"route":"view","total":19,"errors":2,"interval":2000.0}\n'
HEARD = [Met("be-1", "north", 9, 1, 41_500_000, S, {"waiting": 3, "busy": 0.5}), Came(17, "view", 19, 2, 2 * S)]


class Lines(unittest.TestCase):
    def test_a_collector_joins_and_reports_in_any_pieces(self):
        whole, by_byte = port(), port()
        found = whole.receive(JOIN + STATS + USAGE)
        bits = [one for k in range(len(JOIN + STATS + USAGE)) for one in by_byte.receive((JOIN + STATS + USAGE)[k:k + 1])]
        self.assertEqual((found, bits, whole.reply, whole.joined), (HEARD, HEARD, b"", "north"))
        self.assertFalse(whole.late(10 * S))

    def test_spoilt_reports_cost_themselves_only(self):
        spoilt = [STATS.replace(b'"total":9', b'"total":"9"'), STATS.replace(b'"total":9,', b""), STATS.replace(b":9,", b":-9,"),
                  STATS.replace(b'"errors":1', b'"errors":10'), STATS.replace(b"41.5", b"-1"), STATS.replace(b"41.5", b"1e300"),
                  STATS.replace(b'"locality":"north"', b'"locality":"nowhere"'), STATS.replace(b'"rtt":41.5,', b""),
                  STATS.replace(b"1000.0", b"0"), USAGE.replace(b"17", b"40"), USAGE.replace(b"view", b"x"),
                  USAGE.replace(b"client_stats", b"assign"), USAGE.replace(b'"errors":2', b'"errors":null'), b"[]\n"]
        for line in spoilt:
            one = port()
            self.assertEqual(one.receive(JOIN + line + STATS + USAGE), HEARD, line)
            self.assertEqual((one.spoilt, one.over), (1, ""), line)

    def test_unreadable_data_ends_a_collector_without_a_word(self):
        one = port()
        self.assertEqual(one.receive(JOIN + USAGE + b"\x00\xff{garbage\n" + USAGE), HEARD[1:])
        self.assertTrue(one.over)
        self.assertEqual(one.reply, b"")

    def test_strangers_are_turned_away(self):
        for data in (b"\x16\x03\x01\x00\n", b"GET / HTTP/1.1\r\n\r\n", STATS, b'{"@type":"attach","node":1,"locality":"north"}\n',
                     b'{"@type":"telemetry","locality":"nowhere"}\n', b'{"@type":"telemetry"}\n', b"SET,1,be-1,1\n",
                     b"[" * 9000 + b"\n", b"x" * (limits.STRANGER_BYTES + 1), b'{"@type":"assign"}\n'):
            one = port()
            self.assertEqual(one.receive(data), [])
            self.assertTrue(one.over and one.reply.endswith(TURNED_AWAY), data[:40])
        quiet = port()
        quiet.receive(b'{"@type":"hb"}\n{"@ty')
        self.assertEqual(quiet.reply, ALIVE)
        self.assertFalse(quiet.late(limits.JOIN_WITHIN - 1))
        self.assertTrue(quiet.late(limits.JOIN_WITHIN))
        self.assertEqual(quiet.reply, ALIVE + TURNED_AWAY)

    def test_an_endless_line_ends_a_collector(self):
        one = port()
        one.receive(JOIN)
        for _ in range(limits.LINE_MOST // 65536 + 1):
            one.receive(b"x" * 65536)
        self.assertEqual((one.over, len(one.held)), ("a line too long", 0))


class Calls(unittest.TestCase):
    def caller(self):
        caller = Caller(200 * MS)
        caller.put(["SET,1,be-1,1", "USE,3,1,*", "USE,4,1,*"], 7, "SYNC,7,{}".format)
        return caller

    def test_answers(self):
        self.assertEqual(verdict(200, b'<?xml version="1.0"?>\n' + GOOD % 2), ("taken", 2))
        self.assertEqual(verdict(503, ERROR % b"throttled"), ("error", "throttled"))
        for spoilt in (b"", b"<Response><items><it", GOOD % 2 + b"x", GOOD.replace(b"%d", b"-1"), GOOD.replace(b"%d", b""), b"\xff" * 9,
                       b"<Response/>", (GOOD % 2).replace(b"Response", b"R"), b"x" * (limits.ANSWER_MOST + 1)):
            with self.assertRaises(Unreadable):
                verdict(200, spoilt)

    def test_one_call_and_its_answer(self):
        caller = self.caller()
        call = caller.due(0)
        self.assertEqual(call.orders, ["SET,1,be-1,1", "USE,3,1,*", "USE,4,1,*", "SYNC,7,0"])
        self.assertEqual(call.body()[:37], b"Action=CommitChanges&orders=SET%2C1%2")
        self.assertEqual((caller.answered(0, 200, GOOD % 4), caller.idle), ("", True))

    def test_a_refused_order_is_left_out_and_the_rest_goes_on(self):
        caller = self.caller()
        caller.due(0)
        caller.answered(0, 200, GOOD % 1)
        self.assertEqual(caller.due(0).orders, ["USE,4,1,*", "SYNC,7,1"])       # who got the first part answers, too

    def test_a_rejected_call_waits_longer_each_time(self):
        caller, now, waits = self.caller(), 0, []
        for _ in range(6):
            self.assertIsNotNone(caller.due(now))
            caller.answered(now, 503, ERROR % b"throttled")
            waits.append(caller.at - now)
            now = caller.at
        self.assertEqual(waits, sorted(waits))
        self.assertEqual((waits[0], waits[-1]), (limits.AGAIN_FIRST, limits.AGAIN_MOST))
        caller.due(now)
        caller.answered(now, 400, ERROR % b"invalid")           # no such call: it would never be taken
        self.assertEqual((caller.idle, caller.lost), (True, 1))

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
                self.assertEqual(caller.due(200 * MS + limits.EVIDENCE).mark, 7)
                self.assertFalse(caller.idle)

    def test_a_call_that_was_not_sent_goes_again_soon(self):
        caller = self.caller()
        caller.due(0)
        caller.broke(0, False, "refused")
        self.assertEqual(caller.due(limits.AGAIN_FIRST).mark, 7)

    def test_many_orders_go_in_several_calls(self):
        caller = Caller(0)
        caller.put([f"USE,{k},1,*" for k in range(9000)], 5, "SYNC,5,{}".format)
        sizes = [len(";".join(call.orders)) for call in caller.queue]
        self.assertTrue(len(sizes) > 1 and max(sizes) <= limits.ORDERS_MOST)
        self.assertEqual([call.mark for call in caller.queue], [None] * (len(sizes) - 1) + [5])
        self.assertEqual(caller.queue[-1].orders[-1], "SYNC,5,1")


class Relayed(unittest.TestCase):
    def test_news_in_any_pieces(self):
        data = (b":\n\nevent: attach\ndata: node=17&locality=north&w=21.5&cold=1\n\nevent: done\r\ndata: node=17&nonce=905&latency=310.4\r\n\r\n"
                b"event: attach\ndata: node=40&locality=north&w=1&cold=0\n\nevent: attach\ndata: node=x\n\nevent: detach\ndata: node=17\n\n")
        told = [Attach(17, "north", 21.5, True), Done(17, 905, 310_400_000), Detach(17)]
        news, bits = News(["north"], 40), News(["north"], 40)
        self.assertEqual(news.receive(data), told)
        self.assertEqual([one for k in range(len(data)) for one in bits.receive(data[k:k + 1])], told)
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

    def test_a_gap_without_news_leaves_who_still_stands(self):
        standing, _, both = self.standing()
        self.assertEqual(standing.lost(2 * S, "b") + standing.lost(2 * S, "a"), [])
        standing.opened(3 * S, "a")
        self.assertEqual(standing.took(3 * S, "a", both[:1]), [])
        self.assertEqual(standing.next_at(), 3 * S + limits.OPENING)
        self.assertEqual(standing.lead(3 * S + limits.OPENING), [Detach(2)])


class Lists(unittest.TestCase):
    def body(self, revision, complete, *members):
        return json.dumps({"revision": revision, "complete": complete, "members": members}).encode()

    def test_the_whole_list_then_changes(self):
        follow = Follow(41)
        self.assertEqual(follow.ask()[0], "/catalog/members")
        how, members = follow.heard(0, 200, self.body(42, True, member("be-1", up_since_ms=1500)))
        self.assertEqual((how, members[0].backend, members[0].started), ("whole", "be-1", 1500 * MS))
        self.assertEqual(follow.ask()[0], "/catalog/members?from=42&hold_ms=2000")
        self.assertEqual(follow.heard(0, 200, self.body(43, False, member("be-1", phase="gone")))[1][0].state, "gone")
        self.assertIsNone(follow.heard(0, 200, self.body(43, False)))

    def test_an_older_list_takes_nothing_back_until_it_stays(self):
        follow = Follow()
        follow.heard(0, 200, self.body(43, True, member("be-1", phase="draining")))
        self.assertIsNone(follow.heard(S, 200, self.body(42, True, member("be-1"))))
        self.assertEqual(follow.heard(S + limits.OLD_MOST, 200, self.body(42, True, member("be-1")))[0], "whole")
        follow.elsewhere()
        self.assertEqual(follow.heard(20 * S, 200, self.body(1, True))[0], "whole")

    def test_what_is_no_list_is_asked_for_again(self):
        follow = Follow()
        for status, body in ((500, self.body(1, True)), (200, b"{"), (200, self.body(-1, True)), (200, self.body(1, False)),
                             (200, self.body(1, True, member("be-1", phase="x"))), (200, b"\xff\xfe")):
            with self.assertRaises(BadList):
                follow.heard(0, status, body)
            self.assertLessEqual(follow.broke(), limits.AGAIN_MOST)


class Told(unittest.TestCase):
    def test_nested_and_flat_settings_tell_the_same(self):
        pairs = {"az": "north", "balancers": "1", "discovery": "push", "feedback.fields": "waiting,avg_ms", "zones": "north,south",
                 "profiles.count": "2"}
        for part in ("contract", "specifics"):
            pairs.update({f"{part}.{k}": str(v) for k, v in SETTINGS[part].items()})
        for k, kind in enumerate(SETTINGS["profiles"]):
            pairs.update({f"profiles.{k}.{name}": str(v) for name, v in kind.items()})
        nested, flat = (vars(one.deployment(Door())) for one in (Briefing.nested(SETTINGS), Briefing(pairs)))
        for told in (nested, flat):
            told["kinds"] = [vars(kind) for kind in told["kinds"]]
            told["zones"], told["home"] = [zone.door for zone in told["zones"]], told["home"].door
        self.assertEqual(nested, flat)
        self.assertEqual((nested["drain_grace"], nested["throttle"], len(nested["kinds"])), (3 * S, "share", 2))

    def test_bad_values_are_named(self):
        with self.assertRaisesRegex(BadBriefing, "'x' is no good value for specifics.agents"):
            Briefing({"specifics.agents": "x"})
        for data in (b"", b"{", b"[]", b'{"name":"n1"}', configured().replace(b'"listen"', b'"l"'), b"\xff"):
            with self.assertRaises(BadStart):
                read(data)
        for address in ("host:80", "10.0.0.4", "10.0.0.4:99999", "10.0.0.4:-1"):
            with self.assertRaises(BadAddress):
                plain(address)
        self.assertEqual(plain("10.0.0.4:8000"), ("10.0.0.4", 8000))

    def test_reports_do_not_pile_up_while_no_call_gets_through(self):
        post = Post(read(configured()), 0, 0)
        self.assertTrue(post.advance(0))            # the first tables wait for a relay that is not there
        before = len(post.todo)
        post.relayed([Attach(1, "north", 1.0, True)])
        for _ in range(3 * limits.WAITING_MOST):
            post.reports(HEARD[:1])
            self.assertLessEqual(len(post.todo), limits.WAITING_MOST + 1)
        self.assertEqual(post.dropped + len(post.todo) - before, 3 * limits.WAITING_MOST + 1)
        self.assertIn("Joined", [type(event).__name__ for event in post.todo])

    def test_run_imports_nothing_that_it_leaves_off(self):
        code = ("import sys; import embertray.node.service, embertray.cli.logs; print([m for m in sys.modules if m.split('.')[0] in "
                "('numpy', 'lxml', 'matplotlib', 'lark', 'zstandard', 'click', 'xxhash') or m.startswith(('embertray.daemon', "
                "'embertray.admin', 'embertray.memory', 'embertray.durable', 'embertray.trust', 'embertray.core', 'embertray.standin', "
                "'embertray.cluster', 'embertray.fleet', 'embertray.estimate', 'embertray.rig', 'embertray.emulator'))])")
        self.assertEqual(subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=HERE.parent).stdout, "[]\n")


@asynccontextmanager
async def stage(**more):
    """A running Service with its stand-ins: (service, relay, discovery)."""
    net = TcpNet()
    discovery = StandinDiscovery(net, {name: member(name, zone) for name, zone in (("be-1", "north"), ("be-2", "south"))})
    relay = StandinRelay(net)
    async with anyio.create_task_group() as group:
        await group.start(discovery.run)
        await group.start(relay.run)
        data = configured(relay.address, discovery.address, **more)
        service = Service(read(data), LoopClock(), net, lambda: read(data), quiet())
        await group.start(lambda **kw: service.run(signals=False, **kw))
        with anyio.fail_after(30):
            yield service, relay, discovery
        group.cancel_scope.cancel()


async def client(service, data=b""):
    stream = await TcpNet().dial(service.address)
    if data:
        await stream.send(data)
    return stream


async def rest(stream):
    """All that comes until the connection is closed."""
    got = b""
    try:
        while True:
            got += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        await stream.aclose()
        return got


class OnSockets(unittest.TestCase):
    def test_proxies_are_bound_and_a_drain_leaves_their_tables(self):
        async def play():
            async with stage() as (_, relay, discovery):
                for node in range(3):
                    relay.attach(node, "north")
                await relay.until(lambda: all("be-1" in relay.lines(node) for node in range(3)))
                discovery.change("be-1", phase="draining")
                await relay.until(lambda: all(set(relay.lines(node)) == {"be-2"} for node in range(3)))
        anyio.run(play)

    def test_calls_that_are_lost_muted_spoilt_or_throttled_end_up_carried_out(self):
        async def play():
            async with stage() as (service, relay, discovery):
                await relay.until(lambda: relay.calls)
                relay.attach(1, "north")
                await relay.until(lambda: relay.lines(1))
                for mood, times in (("lose", 2), ("mute", 1), ("spoil", 1), ("throttled", 2)):
                    relay.mood, name, before = [mood] * times, f"new-{mood}", len(relay.calls)
                    discovery.change(name, locality="north", up_since_ms=0)
                    await relay.until(lambda: name in relay.lines(1) and not relay.mood)
                    # evidence spares a call that was carried out its repeat
                    first = relay.calls[before][1]
                    repeats = sum(orders == first for _, orders in relay.calls[before + 1:])
                    self.assertEqual(repeats, 0 if mood in ("mute", "spoil") else times)
                    discovery.change(name, phase="gone")
                    await relay.until(lambda: name not in relay.lines(1))
                self.assertEqual(service.post.caller.lost, 0)
        anyio.run(play)

    def test_news_go_on_when_a_connection_breaks(self):
        async def play():
            async with stage() as (service, relay, _):
                relay.attach(1, "north")
                await relay.until(lambda: relay.lines(1) and len(relay.streams) == limits.STREAMS)
                await anyio.aclose_forcefully(relay.open[0])
                relay.attach(2, "north")
                await relay.until(lambda: relay.lines(2) and len(relay.streams) == limits.STREAMS)
                self.assertEqual(set(service.post.standing.joined), {1, 2})
        anyio.run(play)

    def test_a_new_configuration_moves_to_other_addresses(self):
        async def play():
            async with stage() as (service, relay, discovery), anyio.create_task_group() as group:
                relay.attach(1, "north")
                await relay.until(lambda: relay.lines(1))
                net = TcpNet()
                other, elsewhere = StandinRelay(net), StandinDiscovery(net, discovery.members)
                other.joined, other.tables, other.bound = relay.joined, relay.tables, relay.bound
                await group.start(other.run)
                await group.start(elsewhere.run)
                service.load = lambda: read(b"{")
                service.reload()
                self.assertEqual(service.start.store.address, relay.address)        # a bad file changes nothing
                service.load = lambda: read(configured(other.address, elsewhere.address))
                service.reload()
                await other.until(lambda: other.streams)
                for stream in list(relay.open):
                    await anyio.aclose_forcefully(stream)
                elsewhere.change("be-3", **member("be-3"))
                await other.until(lambda: "be-3" in other.lines(1) and len(other.streams) == limits.STREAMS)
                group.cancel_scope.cancel()
        anyio.run(play)

    def test_strangers_by_the_hundreds_are_closed_and_cost_nobody_else(self):
        async def play():
            async with stage() as (service, relay, _):
                strangers = [await client(service, b'{"@type":"hb"}\n{"half' if k % 2 else b"") for k in range(300)]
                collector = await client(service, JOIN + STATS)
                got = [await rest(stream) for stream in strangers]
                self.assertEqual(set(got), {TURNED_AWAY, ALIVE + TURNED_AWAY})
                await collector.send(b'{"@type":"hb"}\n')
                self.assertEqual(await collector.receive(), ALIVE)
                self.assertEqual((service.strangers, service.post.unknown), (0, 0))
                await collector.aclose()
        anyio.run(play)


class Wordless(unittest.TestCase):
    def test_slices_are_refused_and_permissions_go_unused(self):
        def post(**more):
            return Post(read(configured(settings={**SETTINGS, **more})), 0, 0)
        self.assertEqual(post().said, [])
        with self.assertRaisesRegex(BadBriefing, "partitions-n: .* no words for slices"):
            post(specifics={**SETTINGS["specifics"], "partitions-n": 8})
        told = post(caps={"probes": True, "peer-messages": True}).said
        self.assertEqual([("probes" in one, "peers" in one) for one in told], [(True, False), (False, True)])


class Started(unittest.TestCase):
    def test_the_program_by_its_signals(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "config.json")
            path.write_bytes(configured())
            env = {**os.environ, "ROUTER_CONFIG": str(path)}
            with subprocess.Popen([sys.executable, "-m", "embertray.node"], env=env, cwd=HERE.parent, stderr=subprocess.PIPE, text=True) as run:
                def logged(word):
                    for line in run.stderr:
                        if word in line:
                            return json.loads(line)
                    return {}
                self.assertIn("address", logged("listening"))
                path.write_bytes(b"{")
                run.send_signal(signal.SIGHUP)
                self.assertIn("why", logged("can't be used"))
                run.send_signal(signal.SIGTERM)
                self.assertEqual(run.wait(timeout=20), 0)

    def test_a_bad_configuration_is_one_error(self):
        sliced = {**SETTINGS, "specifics": {**SETTINGS["specifics"], "partitions-n": 8}}
        for data in (b"{", configured(listen="nowhere"), configured(settings={"specifics": {"agents": "x"}}), configured(settings=sliced)):
            with tempfile.TemporaryDirectory() as folder:
                Path(folder, "c").write_bytes(data)
                done = subprocess.run([sys.executable, "-m", "embertray.node"], env={**os.environ, "ROUTER_CONFIG": str(Path(folder, "c"))},
                                      cwd=HERE.parent, capture_output=True, text=True, timeout=60)
                self.assertEqual((done.returncode, done.stderr.count("\n"), "Traceback" in done.stderr), (2, 1, False), done.stderr)


if __name__ == "__main__":
    unittest.main()
