"""Tests of the emulator: simulated days compared with days on streams, flows compared with single requests,
arrival processes, the engine, and the models of backends, proxies and clients.
"""

import math
import subprocess
import sys
import unittest
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from types import SimpleNamespace

import numpy as np
import sabotage
from hypothesis import given, settings, strategies as st

from embertray.controller.stream.messages import Bind, Orders
from embertray.experiments.lab import policies
from embertray.simulation.emulator.engine import Engine
from embertray.simulation.emulator.play import play
from embertray.simulation.models.arrivals import Bursts, Poisson, Recorded, Varying, flash, wave
from embertray.simulation.models.backend import Backend, Shape
from embertray.simulation.models.client import Clients
from embertray.simulation.models.proxy import EJECTION_NS, Proxy
from embertray.simulation.scenarios import notation, player

S = 10**9
HERE = Path(__file__).resolve().parent
DAYS = ("crash", "deploy", "errors", "hang", "kill", "list-down", "preempt", "reconnect", "rough", "vanish")
# Allowed difference of credit between a day on streams and a simulated one: retries use other random draws.
CREDIT_MARGIN = 0.02
EVENTS_DIGEST_CODE = """
import sys, zlib
from embertray.simulation.scenarios import notation
from embertray.simulation.emulator.play import play
print(zlib.crc32(repr(play(notation.load("rough"), 5, sys.argv[1]).events).encode()))
"""


def run_on_sockets_and_simulated(name):
    day = notation.load(name)
    found = player.play(day, seed=3), play(day, 3), play(day, 3, "flows")
    return name, [(broken_rules(result), result.credit, len(result.spread) > 0) for result in found]


def broken_rules(result):
    return {rule: why for rule, why in result.violations.items() if why}


def read_day(text):
    return notation.read(text, "here.day")


class Days(unittest.TestCase):
    def test_ten_days_simulated_match_runs_on_streams(self):
        with ProcessPoolExecutor(4) as pool:
            for name, (streams, reqs, flows) in pool.map(run_on_sockets_and_simulated, DAYS):
                with self.subTest(day=name):
                    self.assertEqual((reqs[0], flows[0]), ({}, {}))
                    self.assertLess(abs(streams[1] - reqs[1]), CREDIT_MARGIN)
                    self.assertLess(abs(streams[1] - flows[1]), 2 * CREDIT_MARGIN)
                    self.assertEqual(streams[2], reqs[2])

    def test_same_seed_gives_same_events_in_any_process(self):
        for fidelity in ("reqs", "flows"):
            one, two = (
                subprocess.run(
                    [sys.executable, "-c", EVENTS_DIGEST_CODE, fidelity],
                    capture_output=True,
                    text=True,
                    timeout=60,
                    cwd=HERE.parent,
                    env={"PYTHONHASHSEED": salt, "PYTHONPATH": str(HERE.parent)},
                ).stdout
                for salt in "12"
            )
            self.assertTrue(one)
            self.assertEqual(one, two)

    def test_an_added_fault_does_not_change_other_random_draws(self):
        plain = "site pushed\nfleet backends=6 proxies=4\nload 40/s for 12s\nat 3s slow 30% for 4s times 4\n"
        stages = []
        for text in (plain, plain + "at 5s reconnect p2\n"):
            play(read_day(text), 7, on_stage=stages.append)
        first, second = (
            {
                at: kind.external_id
                for at, kind, _, _ in stage.observer.outcomes
                if at < stage.load_start + 4 * S
            }
            for stage in stages
        )
        self.assertGreater(len(first), 100)
        self.assertEqual(first, second)
        speeds = [[backend.model.shape.speed for backend in stage.backends] for stage in stages]
        self.assertEqual(*speeds)

    def test_sabotaged_controller_breaks_its_rule_in_simulation(self):
        rough = read_day(
            "site pushed\nfleet backends=6 proxies=6\nload 60/s for 20s\nat 4s deploy b1 b2 "
            "batch=2 drain=8s by 1s\n"
        )
        for fidelity in ("reqs", "flows"):
            result = play(rough, 2, fidelity, core=sabotage.DropsRemovals)
            self.assertIn("drain", broken_rules(result), fidelity)
            self.assertEqual(broken_rules(play(rough, 2, fidelity)), {})

    def test_faults_that_need_streams_are_rejected_with_their_line(self):
        text = "site pushed\nload 10/s for 5s\nat 2s half-message p1\n"
        with self.assertRaisesRegex(notation.DayError, "here:3: 'half-message' needs byte streams"):
            play(read_day(text))
        with self.assertRaisesRegex(notation.DayError, "emulated only"):
            player.play(read_day("site pushed\nfleet cross=4ms\nload 10/s for 5s\n"))

    def test_delay_between_zones_adds_to_latency(self):
        text = "site pushed\nfleet backends=6 proxies=6 cross={}\nload 30/s for 10s\n"
        for policy, least in (("even", 35_000), ("module", 0)):  # two of three backends are in another zone
            near, far = (
                play(
                    read_day(text.format(way)), 4, core=policies.core(policy)
                ).latencies.get_value_at_percentile(50)
                for way in ("0ms", "40ms")
            )
            self.assertGreater(far, near + least)

    def test_in_flows_outcomes_add_up_to_requests(self):
        stages = []
        result = play(notation.load("overload"), 2, "flows", on_stage=stages.append)
        for kind, (asked, *ends) in stages[0].outcome_counts().items():
            self.assertAlmostEqual(asked, sum(ends), delta=0.01 * asked, msg=kind.external_id)
        self.assertLess(result.credit, 0.99)

    def test_flash_crowd_lowers_credit_of_its_seconds(self):
        text = (
            "site pushed\nfleet backends=6 proxies=6\nload 40/s for 16s source=flash times=12 "
            "at=6s period=4s\n"
        )
        for fidelity in ("reqs", "flows"):
            line = play(read_day(text), 1, fidelity).credit_by_second
            self.assertGreater(min(x for x in line[1:5] if x is not None), 0.97)
            self.assertLess(min(line[6:11]), 0.9)


class Sources(unittest.TestCase):
    def times(self, source, seconds, seed=1):
        rng, now, found = np.random.default_rng(seed), 0, []
        while True:
            now, _, _ = source.next(now, rng, seconds * S)
            if now is None:
                return np.array(found)
            found.append(now)

    def test_constant_rate_gives_poisson_counts(self):
        for source in (Poisson(lambda now: 50.0), Varying(lambda now: 50.0)):
            counts = np.bincount(self.times(source, 400) // S, minlength=400)
            self.assertAlmostEqual(counts.mean(), 50, delta=1.5)
            # The variance of a Poisson distribution equals its mean.
            self.assertAlmostEqual(counts.var() / counts.mean(), 1, delta=0.25)

    def test_bursts_keep_the_mean_and_increase_the_variance(self):
        bursts = Bursts(6, 8 * S, 2 * S, np.random.default_rng(5))
        counts = np.bincount(self.times(Varying(lambda now: 20 * bursts(now)), 3000) // S, minlength=3000)
        self.assertAlmostEqual(counts.mean(), 20, delta=2)
        self.assertGreater(counts.var() / counts.mean(), 8)

    def test_wave_and_flash_rates(self):
        rate = wave(0.5, 10 * S)
        counts = (
            np.bincount(self.times(Varying(lambda now: 100 * rate(now)), 200) // S, minlength=200)
            .reshape(-1, 10)
            .mean(axis=0)
        )
        self.assertAlmostEqual(counts[2], 100 * (1 + 0.5 * math.sin(math.pi / 2)), delta=8)
        self.assertAlmostEqual(counts[7], 50, delta=8)
        crowd = flash(5, 10 * S, S, 4 * S, 2 * S)
        self.assertEqual([round(crowd(t * S), 2) for t in (0, 9, 11, 14, 17, 19)], [1, 1, 5, 5, 3, 2])

    def test_zero_rate_ends_and_recorded_requests_keep_their_order(self):
        self.assertEqual(len(self.times(Poisson(lambda now: 0.0), 5)), 0)
        self.assertEqual(len(self.times(Varying(lambda now: 0.0), 5)), 0)
        record = Recorded([(S, "view", 5), (2 * S, "post", 6), (9 * S, "view", 7)], speed=2.0)
        rng = np.random.default_rng(1)
        self.assertEqual(
            [record.next(0, rng, 3 * S) for _ in range(3)],
            [(S // 2, "view", 5), (S, "post", 6), (None, None, None)],
        )
        with self.assertRaisesRegex(ValueError, "in order"):
            wrong = Recorded([(S, "view", 5), (S // 2, "view", 5)])
            wrong.next(0, rng, S * 9)
            wrong.next(0, rng, S * 9)


class EngineOrder(unittest.TestCase):
    def test_delay_queues_and_heap_keep_one_order(self):
        engine, seen = Engine(), []
        engine.after(5, seen.append, "a")
        engine.at(5, seen.append, "b")
        engine.after(5, seen.append, "c")
        gone = engine.after(5, seen.append, "never")
        engine.after(3, seen.append, "first")
        gone.cancel()
        engine.run()
        self.assertEqual(seen, ["first", "a", "b", "c"])

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.lists(st.tuples(st.booleans(), st.integers(0, 6), st.booleans()), max_size=40))
    def test_calls_run_by_time_then_by_order_of_scheduling(self, plan):
        engine, seen, wanted = Engine(), [], []
        for n, (line, span, cancelled) in enumerate(plan):
            timer = (engine.after if line else engine.at)(span, seen.append, (span, n))
            if cancelled:
                timer.cancel()
            else:
                wanted.append((span, n))
        engine.run()
        self.assertEqual(seen, sorted(wanted))

    def test_processes_resume_after_their_sleep(self):
        engine, seen = Engine(), []

        async def walk():
            for _ in range(3):
                await engine.sleep_until(engine.now() + 10)
                seen.append(engine.now())

        engine.start(walk())
        engine.run()
        self.assertEqual(seen, [10, 20, 30])


class Models(unittest.TestCase):
    def backend(self, **shape):
        backend = Backend("b", "z", Shape(cores=2, queue=10, connections_max=99, warm_up_time=0, **shape))
        backend.start(0, cold=False)
        return backend

    def test_thrashing_backend_slows_down_with_its_queue(self):
        ends = []
        for thrash in (0.0, 2.0):
            backend = self.backend(thrash=thrash)
            for n in range(8):
                backend.offer(0, n, "view", S, None)
            while backend.next_at() is not None:
                last = backend.next_at()
                backend.advance(last)
            ends.append(last)
        self.assertEqual(ends[0], 4 * S)
        self.assertGreater(ends[1], 5 * S)

    def test_processor_sharing_ends_equal_work_together(self):
        backend = self.backend(sharing=True)
        for n in range(4):
            backend.offer(0, n, "view", S, None)
        self.assertEqual(backend.next_at(), 2 * S)  # four requests share two cores
        self.assertEqual(backend.advance(2 * S), [0, 1, 2, 3])
        for n in range(12):
            self.assertIsNone(backend.offer(2 * S, n, "view", S, None))
        self.assertEqual(backend.offer(2 * S, 99, "view", S, None), "full")

    def test_flow_outcomes_add_up_and_queue_stays_within_its_limit(self):
        backend = self.backend()
        done = full = 0.0
        for n in range(100):  # 4 requests a second at a capacity of 2
            met = backend.serve_flow(n * S // 10, S // 10, 0.4, S, 100 * S)
            self.assertAlmostEqual(met.done + met.full + met.timed_out, 1)
            done, full = done + met.done * 0.4, full + met.full * 0.4
        self.assertLessEqual(backend.queued_work, 10 * S)
        self.assertAlmostEqual(done, 2 * 10 + 10, delta=1.5)  # the capacity of 10 s, and the queue
        self.assertAlmostEqual(full, 10, delta=1.5)

    def proxy(self, lines, **site):
        kind = SimpleNamespace(external_id="view", latency_objective=S, client_timeout=2 * S)
        facts = {
            "kinds": [kind],
            "picks": "weighted",
            "levels": "none",
            "base_retry": 2,
            "per_try": 0.8,
            "eject_after": 0,
            "full_may_have_run": True,
            **site,
        }
        proxy = Proxy(SimpleNamespace(**facts), np.random.default_rng(1))
        proxy.apply(Orders(0, 0, [Bind(1, lines)]))
        return proxy

    def req(self):
        return SimpleNamespace(kind="view", within=2 * S, ident=1, attempt=1, work=1)

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.lists(st.floats(0, 5), min_size=1, max_size=6), st.sampled_from(["weighted", "round", "two"]))
    def test_picks_only_weighted_backends_and_none_twice(self, weights, how):
        proxy = self.proxy([(f"b{n}", w) for n, w in enumerate(weights)], picks=how)
        for _ in range(5):
            tried, held = [], {f"b{n}" for n, w in enumerate(weights) if w > 0}
            while (name := proxy.pick(0, tried)) is not None:
                tried.append(name)
            self.assertEqual(sorted(tried), sorted(held))

    def test_round_robin_follows_the_weights_exactly(self):
        proxy = self.proxy([("a", 3.0), ("b", 1.0)], picks="round")
        picked = [proxy.pick(0, []) for _ in range(40)]
        self.assertEqual((picked.count("a"), picked.count("b")), (30, 10))
        self.assertNotIn("b,b", ",".join(picked))

    def test_proxy_retries_by_its_level_and_ejects_for_a_while(self):
        proxy = self.proxy([("a", 1.0), ("b", 1.0)], eject_after=1)
        pending = proxy.arrive(0, self.req(), None)
        self.assertIsNone(proxy.attempt(0, pending))
        first = pending.backend
        self.assertEqual(proxy.attempt_ended(1, pending, pending.attempt, "error", {}), "again")
        self.assertIsNone(proxy.attempt(1, pending))
        self.assertNotEqual(pending.backend, first)
        self.assertEqual(proxy.attempt_ended(2, pending, pending.attempt, "done", {}), "done")
        self.assertIsNone(
            proxy.attempt_ended(3, pending, pending.attempt, "done", {})
        )  # a late answer is ignored
        self.assertEqual({proxy.pick(10, []) for _ in range(20)}, {"a", "b"} - {first})
        self.assertEqual({proxy.pick(2 + EJECTION_NS, []) for _ in range(40)}, {"a", "b"})
        report = proxy.take_load_report(5)
        self.assertEqual(sorted((m.tries, m.failed) for m in report.met), [(1, 0), (1, 1)])
        self.assertEqual(proxy.take_load_report(6).met, [])

    def test_clients_retry_only_replayable_or_rejected_requests(self):
        kind = SimpleNamespace(
            external_id="post", again="non-replayable", latency_objective=S, client_timeout=2 * S
        )
        clients = Clients(1, [(kind, 1.0, S // 10)], np.random.default_rng(2))
        for how, verdict in (("error", "lost"), ("timeout", "lost"), ("denied", "again")):
            ask = clients.draw_request(0)
            self.assertEqual(clients.attempt(0, ask), S)
            self.assertEqual(clients.attempt_ended(1, ask.ident, 1, how)[1], verdict)
        self.assertEqual(clients.attempt(S, ask), S)
        self.assertEqual(clients.attempt_ended(S + 5, ask.ident, 2, "done")[1:], ("late", S + 5))
        self.assertEqual(clients.pending, {})


if __name__ == "__main__":
    unittest.main()
