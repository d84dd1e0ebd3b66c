"""Tests of memory accounting: sizes compared with tracemalloc, actions at the caps, no leaks under churn."""

import io
import tracemalloc
import unittest
from collections import deque
from functools import partial

import anyio
from test_daemon import START_S, with_daemon

from embertray.common.memory import Collection, MemoryAccounts
from embertray.common.memory.account import NOTICE_SHARE
from embertray.common.memory.accounts import JOIN_DELAY_JITTER_NS, JOIN_DELAY_NS
from embertray.common.memory.caps import CAP_BYTES_MIN, MEMBER_BYTES, default_caps
from embertray.common.memory.purposes import ACTIONS
from embertray.common.memory.sizing import deep_size, measure_entry_bytes
from embertray.controller.core import ControllerCore
from embertray.controller.stream.messages import BackendTotals, Fault, Line, LoadReport, Orders, Welcome
from embertray.service.site import SITE_FOLDER as SITES, ClusterSettings, load
from embertray.simulation.emulator import churn
from embertray.simulation.scenarios import notation, player

S = 10**9


class Sizing(unittest.TestCase):
    def test_deep_size_agrees_with_the_allocator(self):
        """Within 8 percent, for the types of objects in the accounts: tuples, structs, dicts, deques."""
        for make in (
            lambda n: (n * 1000003, float(n), f"name-{n}"),
            lambda n: BackendTotals(f"b-{n}", n * 1000, 0, n * 10**9),
            lambda n: {f"k-{n}": n + 0.5},
            lambda n: Line(1, f"be-{n}", n + 0.5),
            lambda n: deque([n * 10**9]),
        ):
            tracemalloc.start()
            objects = [
                make(n) for n in range(300, 40300)
            ]  # many objects, because the allocator reuses free ones
            allocated, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            computed = deep_size(objects)
            self.assertLess(abs(computed / allocated - 1), 0.08, (make(1), computed, allocated))

    def test_a_sample_stands_for_its_collection_and_stops_at_other_collections(self):
        class Other:
            def __init__(self):
                self.big = "x" * 10**6

        entries = [(n, "y" * (n % 100), Other()) for n in range(10_000)]
        measured = measure_entry_bytes(Collection("s", len(entries), lambda: entries, stop=(Other,)))
        expected = deep_size([entry[:2] for entry in entries]) / len(entries)
        self.assertLess(abs(measured / expected - 1), 0.25)
        self.assertEqual(measure_entry_bytes(Collection("s", 0, list)), 0.0)


class Accounts(unittest.TestCase):
    def accounts(self, cap=1000, chance=lambda: 0.5):
        return MemoryAccounts({**dict.fromkeys(ACTIONS, 10**9), "streams": cap}, chance)

    def evaluate_with(self, accounts, now, count):
        entries = ["x" * 51] * count  # one object, only used for the number of rows
        rows = [bytes(67) for _ in entries]  # 100 bytes each
        return accounts.evaluate(now, lambda: {"streams": [Collection("s", len(rows), lambda: rows)]})

    def test_a_cap_is_in_force_until_well_below_and_notified_once(self):
        accounts, notice_texts, actions = self.accounts(), [], []
        for n, count in enumerate([5, 9, 9, 11, 10, 10, 9, 8, 5, 9]):
            instructions = self.evaluate_with(accounts, n * S, count)
            actions.append([instruction.action for instruction in instructions])
            notice_texts += [text for _, text, *_ in accounts.notices]
            accounts.notices.clear()
        self.assertEqual(
            [bool(taken) for taken in actions],
            [False, False, False, True, True, True, True, False, False, False],
        )
        self.assertEqual(
            notice_texts,
            [
                "past four fifths of its cap",
                "at its cap",
                "below its cap again",
                "past four fifths of its cap",
            ],
        )
        self.assertEqual(accounts.by_purpose["streams"].peak, 1100)
        self.assertLess(NOTICE_SHARE, 1)

    def test_rejected_proxies_come_back_at_random_times(self):
        draws = iter([0.0, 0.5, 1.0])
        accounts = self.accounts(chance=lambda: next(draws))
        self.assertIsNone(accounts.reject_join())
        self.evaluate_with(accounts, 0, 12)
        self.assertEqual(
            [accounts.reject_join() for _ in range(3)],
            [JOIN_DELAY_NS, JOIN_DELAY_NS + JOIN_DELAY_JITTER_NS // 2, JOIN_DELAY_NS + JOIN_DELAY_JITTER_NS],
        )
        self.assertEqual(accounts.by_purpose["streams"].action_count, 3)

    def test_default_caps_follow_from_the_fleet_of_the_site(self):
        site = load(SITES / "samples" / "pushed.xml")
        small, large = default_caps(site), default_caps(site.at(proxies=1000, backends=1000))
        self.assertTrue(all(small[p] >= CAP_BYTES_MIN and large[p] >= small[p] for p in small))
        self.assertEqual(set(ACTIONS) - set(small), {"cluster"})  # only for sites with a cluster element
        cluster = ClusterSettings("c", S, 8 << 20, 1 << 16)
        self.assertEqual(default_caps(site.at(cluster=cluster))["cluster"], 2 * (8 << 20) + 2 * MEMBER_BYTES)
        core = ControllerCore(site.at(caps={"reports": 123}), site.controllers[0], 1, 0)
        self.assertEqual(core.accounts.by_purpose["reports"].cap, 123)


class Caps(unittest.TestCase):
    """Drives each cap to its action in the real daemon."""

    @partial(with_daemon, caps={"streams": 60_000})
    async def test_joins_are_rejected_at_the_cap_and_joined_proxies_served(self, daemon):
        first = [await daemon.connect_proxy(f"p{n}") for n in range(25)]
        for peer in first:
            self.assertIsInstance(await peer.receive_until((Welcome, Fault)), Welcome)
        await anyio.sleep(2)
        late = await (await daemon.connect_proxy("late")).receive_until((Welcome, Fault))
        self.assertEqual(late.code, "later")
        self.assertTrue(JOIN_DELAY_NS <= late.wait <= JOIN_DELAY_NS + JOIN_DELAY_JITTER_NS)
        daemon.inventory.list("127.0.0.1:9000", "north", "draining")
        for peer in first:
            while not any(
                isinstance(do, Line) and do.weight == 0 for do in (await peer.receive_until(Orders)).do
            ):
                pass
        for peer in first[5:]:
            await peer.stream.aclose()
        await anyio.sleep(2)
        self.assertIsInstance(
            await (await daemon.connect_proxy("late")).receive_until((Welcome, Fault)), Welcome
        )

    @with_daemon
    async def test_a_fleet_of_twice_the_named_size_meets_no_cap(self, daemon):
        for n in range(2 * daemon.service.site.backends):
            daemon.inventory.list(f"127.0.1.{n + 1}:9000", "north")
        peers = [await daemon.connect_proxy(f"p{n}") for n in range(2 * daemon.service.site.proxies)]
        for peer in peers:
            self.assertIsInstance(await peer.receive_until((Welcome, Fault)), Welcome)
        await anyio.sleep(5)
        rows = daemon.service.memory()["purposes"]
        self.assertEqual([row["purpose"] for row in rows if row["acts"]], [])
        self.assertTrue(all(row["bytes"] > 0 for row in rows if row["purpose"] not in ("probes", "reports")))

    @partial(with_daemon, caps={"list": 3000, "tables": 10**7})
    async def test_new_backends_wait_at_the_cap_and_removals_pass(self, daemon):
        peer = await daemon.connect_proxy("p1")
        await peer.receive_until(Orders)
        for n in range(40):
            daemon.inventory.list(f"127.0.1.{n + 1}:9000", "north")
            await anyio.sleep(0.3)
        core = daemon.service.core
        self.assertTrue(core.accounts.by_purpose["list"].at_cap)
        self.assertLess(len(core.state), 43)
        self.assertGreater(core.accounts.by_purpose["list"].action_count, 0)
        daemon.inventory.list("127.0.0.1:9000", "north", "draining")
        while not any(
            isinstance(do, Line) and do.weight == 0 for do in (await peer.receive_until(Orders)).do
        ):
            pass
        for n in range(40):
            daemon.inventory.list(f"127.0.1.{n + 1}:9000", "north", "gone")
        daemon.inventory.list("127.0.2.1:9000", "north")
        await anyio.sleep(100)
        self.assertFalse(core.accounts.by_purpose["list"].at_cap, core.accounts.rows())
        self.assertIn("127.0.2.1:9000", core.state)  # requested again once usage was below the cap

    @partial(with_daemon, caps={"reports": 20_000}, reports_rate=5.0)
    async def test_reports_drop_the_oldest_and_say_so(self, daemon):
        for n in range(60):
            daemon.inventory.list(f"127.0.1.{n + 1}:9000", "north")
        peer = await daemon.connect_proxy("p1")
        await peer.receive_until(Orders)
        for _ in range(30):
            await peer.stream.send(
                peer.session.pack(
                    LoadReport(S, [BackendTotals(f"127.0.1.{n + 1}:9000", 2, 0, S // 5) for n in range(60)])
                )
            )
            await anyio.sleep(1)
        core = daemon.service.core
        self.assertGreater(core.intake.dropped, 0)
        self.assertEqual(core.accounts.by_purpose["reports"].action_count, core.intake.dropped)

    @partial(with_daemon, caps={"channel": 3000}, channel_rate=20.0)
    async def test_the_channel_cuts_the_proxy_with_the_most_lines_waiting(self, daemon):
        peers = [await daemon.connect_proxy(f"p{n}") for n in range(30)]
        await anyio.sleep(6)
        self.assertGreater(daemon.service.counters.cuts, 0)
        self.assertLess(daemon.service.counters.cuts, 30)
        self.assertEqual(len(peers), 30)

    @with_daemon
    async def test_a_million_names_that_no_list_had_leave_nothing(self, daemon):
        peer = await daemon.connect_proxy("p1")
        await peer.receive_until(Orders)
        for k in range(50):
            await peer.stream.send(
                peer.session.pack(LoadReport(S, [BackendTotals(f"ghost-{k}-{n}", 1) for n in range(2000)]))
            )
            await anyio.sleep(0.1)
        core = daemon.service.core
        self.assertEqual(core.intake.unknown, 100_000)
        self.assertEqual((len(core.identifiers.backends), len(core.intake.waiting)), (3, 0))

    @with_daemon
    async def test_proxies_and_backends_that_are_gone_are_forgotten_everywhere(self, daemon):
        core = daemon.service.core
        stay = await daemon.connect_proxy("stay")
        await stay.receive_until(Orders)

        async def keep_answering():
            while await stay.receive_until(Orders):
                pass

        daemon.group.start_soon(keep_answering)
        for n in range(40):
            daemon.inventory.list(f"127.0.1.{n + 1}:9000", "north", "ready", int(START_S * 1e9) + n)
            peer = await daemon.connect_proxy(f"px-{n}")
            await peer.receive_until(Orders)
            await anyio.sleep(2)
            daemon.inventory.list(f"127.0.1.{n + 1}:9000", "north", "gone")
            await peer.stream.aclose()
        await anyio.sleep(120)
        self.assertEqual((len(core.identifiers.backends), len(core.identifiers.proxies)), (3, 1))
        self.assertEqual((len(core.policy.backends), len(core.policy.proxies)), (3, 1))
        self.assertEqual(
            (len(core.start_times), len(core.outbox.withdrawn), len(core.policy.publisher.removal.withdrawn)),
            (0, 0, 0),
        )
        self.assertLessEqual(len(core.identifiers.nonces), 3)


class Churn(unittest.TestCase):
    PLAN = dict(
        backends=8, proxies=12, request_rate=60.0, hours=0.3, proxies_replaced=30.0, backends_replaced=6.0
    )

    def report_of_churn(self, core=None):
        done = churn.play_virtual(churn.ChurnPlan(**self.PLAN), 1, core)
        report = io.StringIO()
        return churn.print_report(done, report), report.getvalue()

    def test_every_purpose_is_flat_under_churn(self):
        flat, report = self.report_of_churn()
        self.assertTrue(flat, report)

    def test_a_leak_is_found(self):
        flat, report = self.report_of_churn(churn.LeakingCore)
        self.assertFalse(flat, report)


class Rules(unittest.TestCase):
    def test_caps_of_several_purposes_during_a_drain_wave_keep_the_rules(self):
        class Tight(ControllerCore):
            def __init__(self, site, *rest):
                super().__init__(
                    site.at(caps={"reports": 40_000, "list": 2000, "streams": 20_000, "names": 20_000}), *rest
                )

        day = notation.read(
            "fleet backends=10 proxies=10 controllers=1\nload 70/s for 35s\n"
            "at 6s deploy 50% batch=5 drain=5s\nat 14s reconnect 30%\nat 16s add times 6"
        )
        result = player.play(day, core=Tight)
        self.assertEqual({rule: why for rule, why in result.violations.items() if why}, {})
        self.assertGreater(result.credit, 0.8)


if __name__ == "__main__":
    unittest.main()
