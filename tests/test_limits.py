"""Fleet-wide limits: never exceeded under random faults, nor in small models that explore orders of events;
each check is shown to fail on a sabotaged part.
"""

import random
import subprocess
import sys
import unittest
from pathlib import Path

from hypothesis import given, settings, strategies as st

from embertray.cluster.limits import Limits
from embertray.cluster.limits.divide import divide
from embertray.cluster.limits.lease import Acceptor
from embertray.cluster.limits.ledger import Ledger
from embertray.cluster.limits.messages import QuotaGrant
from embertray.cluster.limits.quota_holder import QuotaHolder
from embertray.experiments.measure.explore import PropertyViolationError, explore, random_walks
from embertray.experiments.measure.models import LeaderModel, QuotaModel
from embertray.simulation.emulator.engine import NS_PER_SECOND as S
from embertray.simulation.emulator.limits_simulation import LimitsSimulation


def simulate(seed, core_type=Limits, drift=0.01, fault_count=10):
    simulation = LimitsSimulation(seed, 3 + seed % 5, 12 + seed % 9, drift=drift, core_type=core_type).run(
        15 * S
    )
    for _ in range(fault_count):
        simulation.inject_fault(simulation.rng.randint(1, 20) * S)
        simulation.run(simulation.rng.randint(0, 9) * S)
    return simulation


def sabotaged(**parts):
    """A Limits class whose quota holder, ledger or `is_leader` is replaced."""

    class Sabotaged(Limits):
        def __init__(self, name, names, totals, now, rng, config, new_cluster=False, incarnation=0):
            super().__init__(name, names, totals, now, rng, config, new_cluster, incarnation)
            if "holder" in parts:
                self.quota_holder = parts["holder"](name, self.quota_holder.floors, config, incarnation)

        def on_elected(self, now):
            super().on_elected(now)
            if "ledger" in parts and type(self.ledger) is Ledger:
                self.ledger.__class__ = parts["ledger"]

        def is_leader(self, now):
            return parts.get("is_leader", Limits.is_leader)(self, now)

    return Sabotaged


class ForgetsDepartedProxies(QuotaHolder):
    """Raises its proxies' quotas without charging what departed proxies still use."""

    def quota_updates(self, now):
        departed = list(self.departed)
        self.departed = {}
        for proxy in departed:
            self.forget_proxy(proxy)
        return super().quota_updates(now)


def ignores_lease_end(self, now):
    """Whether a member leads if it ignores the end of its lease."""
    return self.ledger is not None or self.proposer.holds_lease(now)


class IgnoresUnclaimedProxies(Ledger):
    """Grants a silent member's units once its term is over, even if its proxies still use them."""

    def unclaimed_proxies(self, name, request):
        return set()


class ForgetsFormerIncarnations(Ledger):
    """Does not charge what proxies use by quotas of a former incarnation."""

    def record_request(self, now, name, request):
        recorded = super().record_request(now, name, request)
        self.accounts[name].former_incarnations = []
        return recorded


class IgnoresClockDrift(Acceptor):
    """Considers an accepted lease ended after the lease term by its own clock, without adding clock drift."""

    def on_propose(self, now, message, sender):
        answer = super().on_propose(now, message, sender)
        self.lease_ends_at -= self.config.drift_adjusted_term - self.config.lease_term
        return answer


class AnswersAtOnce(Acceptor):
    """Answers at once after a restart, while a lease that it accepted before may still be valid."""

    def __init__(self, config, now, new_cluster=False):
        super().__init__(config, now, True)


class RandomFaults(unittest.TestCase):
    def test_limit_is_never_exceeded_and_used_again_after_faults(self):
        for seed in (
            *range(8),
            15,
            36,
            72,
            147,
            248,
            590,
            601,
        ):  # seeds from 15 on have exceeded the limit or stalled in earlier versions
            with self.subTest(seed=seed):
                simulation = simulate(seed)
                simulation.run(60 * S)
                self.assertEqual(simulation.max_excess, 0)
                self.assertGreater(
                    simulation.utilization[-1], 0.94
                )  # all but the floors of members without proxies

    def test_limit_is_used_with_demand_skewed_twenty_to_one(self):
        for members in (2, 5, 12):
            simulation = LimitsSimulation(1, members, 4 * members, skew=20.0).run(60 * S)
            self.assertGreater(simulation.utilization[-1], 0.95)
            self.assertEqual(simulation.max_excess, 0)

    def test_units_of_a_dead_member_are_used_again_within_the_term(self):
        simulation = LimitsSimulation(3, 5, 20).run(30 * S)
        before = simulation.utilization[-1]
        leader = next(
            name for name, member in simulation.members.items() if member.core.is_leader(member.clock.now())
        )
        simulation.kill(next(name for name in simulation.names if name != leader))
        simulation.run(int(simulation.config.lease_term) + S)
        self.assertGreater(simulation.utilization[-1], before - 0.02)

    def test_a_limit_below_the_number_of_members(self):
        simulation = LimitsSimulation(2, 5, 10, total=3).run(60 * S)
        self.assertEqual(simulation.max_excess, 0)

    def test_the_same_seed_is_the_same_run(self):
        one = simulate(7, fault_count=4)
        two = simulate(7, fault_count=4)
        self.assertEqual((one.utilization, one.quotas), (two.utilization, two.quotas))


class Sabotaged(unittest.TestCase):
    def over(self, *seeds, **parts):
        return max(simulate(seed, sabotaged(**parts)).max_excess for seed in seeds or range(16))

    def test_member_that_forgets_departed_proxies_exceeds_the_limit(self):
        self.assertGreater(self.over(holder=ForgetsDepartedProxies), 0)

    def test_leader_that_ignores_unclaimed_proxies_exceeds_the_limit(self):
        self.assertGreater(self.over(ledger=IgnoresUnclaimedProxies), 0)

    def test_leader_that_forgets_former_incarnations_exceeds_the_limit(self):
        self.assertGreater(self.over(15, 45, 97, ledger=ForgetsFormerIncarnations), 0)

    def test_leader_that_ignores_the_end_of_its_lease_exceeds_the_limit(self):
        self.assertGreater(self.over(is_leader=ignores_lease_end), 0)


class StateExploration(unittest.TestCase):
    """Orders of events in small models: the first few thousand states, and random paths. The complete
    exploration is python -m embertray.experiments.measure.models.
    """

    def test_never_two_leaders(self):
        explore(LeaderModel(rounds=2, ticks=3, crashes=1), 8_000)
        self.assertGreater(random_walks(LeaderModel(rounds=3, ticks=8), 1000, 60, random.Random(1)), 10_000)

    def test_acceptor_that_answers_at_once_after_a_restart_is_detected(self):
        with self.assertRaisesRegex(PropertyViolationError, "two hold the lease"):
            random_walks(LeaderModel(rounds=3, ticks=8, acceptor=AnswersAtOnce), 4000, 60, random.Random(1))

    def test_accepted_lease_outlasts_a_holder_with_a_slow_clock(self):
        """One fixed path: the holder's clock stops for a tick, and another member tries to acquire the lease
        as soon as the term has ended by its own clock.
        """
        for acceptor, expect_two_leaders in ((Acceptor, False), (IgnoresClockDrift, True)):
            model = LeaderModel(acceptor=acceptor)
            model.start_round("a")
            self.deliver_between(model, "a")
            model.tick("a")
            model.tick(None)
            model.start_round("b")
            self.deliver_between(model, "b")
            self.assertEqual(bool(model.violation()), expect_two_leaders)

    def deliver_between(self, model, name):
        """Deliver all messages between this member and c until none is in flight."""
        for _ in range(6):
            for envelope in sorted(model.network, key=repr):
                if {envelope[0], envelope[1]} == {name, "c"}:
                    model.receive(*envelope)

    def test_quotas_never_exceed_the_limit_in_explored_states(self):
        explore(QuotaModel(asks=2, ticks=4), 5_000)
        self.assertGreater(random_walks(QuotaModel(asks=5, ticks=8), 1000, 60, random.Random(1)), 10_000)


class Quotas(unittest.TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.integers(0, 1000), st.dictionaries(st.sampled_from("abcdefgh"), st.integers(0, 500), min_size=1)
    )
    def test_division_uses_the_whole_pool_and_is_max_min_fair(self, pool, demand):
        shares = divide(pool, demand)
        self.assertEqual(sum(shares.values()), pool)
        lacking = [name for name in demand if shares[name] < demand[name]]
        for name in lacking:
            self.assertTrue(all(shares[other] <= shares[name] + 1 for other in demand))

    def test_replayed_or_late_grant_is_not_applied(self):
        limits = Limits("a", ["a", "b", "c"], {"l": 100}, 0, random.Random(1), new_cluster=True)
        holder = limits.quota_holder
        first = holder.make_request(10, 7, False)
        second = holder.make_request(20, 7, False)
        self.assertTrue(holder.apply_grant(30, QuotaGrant(second.sequence, 7, {"l": 9}), 7))
        self.assertFalse(holder.apply_grant(30, QuotaGrant(first.sequence, 7, {"l": 50}), 7))
        self.assertFalse(holder.apply_grant(30, QuotaGrant(second.sequence, 7, {"l": 50}), 7))
        third = holder.make_request(40, 7, False)
        self.assertFalse(holder.apply_grant(50, QuotaGrant(third.sequence, 6, {"l": 50}), 7))
        self.assertFalse(
            holder.apply_grant(40 + limits.config.lease_term, QuotaGrant(third.sequence, 7, {"l": 50}), 7)
        )
        self.assertEqual(holder.granted, {"l": 9})

    def test_run_and_adapter_do_not_load_the_cluster(self):
        code = (
            "import sys; import embertray.platform.run.service, embertray.benchlink.batches; "
            "print([m for m in sys.modules if m.startswith(('embertray.cluster.limits', "
            "'embertray.cluster', 'embertray.simulation.processes'))])"
        )
        root = Path(__file__).resolve().parent.parent
        self.assertEqual(
            subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=root).stdout,
            "[]\n",
        )


if __name__ == "__main__":
    unittest.main()
