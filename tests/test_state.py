"""Shared entries: merging in any order, ages, caps, incarnations and the staleness bound."""

import itertools
import random
import unittest

from hypothesis import given, settings, strategies as st

from embertray.cluster.state import AntiEntropyExchange, Entry, EntryStore, StoreFullError
from embertray.cluster.state.staleness import staleness_bound_ns

S = 10**9  # ns
MS = 10**6  # ns
NOW = 1000 * S
ENTRIES = st.lists(
    st.builds(
        Entry,
        st.sampled_from("abc"),
        st.sampled_from(["k", "l"]),
        st.integers(1, 3),
        st.integers(1, 4),
        st.integers(0, 9).map(lambda s: s * S),
        st.just(b"v"),
    ),
    max_size=12,
)


def with_value_of_its_rank(entry):
    """The entry with a value derived from its rank: an owner never writes two values of one version."""
    return Entry(
        entry.owner,
        entry.key,
        entry.incarnation,
        entry.version,
        entry.age_ns,
        f"{entry.incarnation} {entry.version}".encode(),
    )


def merged(*batches):
    """The entries and incarnations of a store that has merged these batches in this order."""
    store = EntryStore("me", 1)
    for batch in batches:
        store.merge(NOW, batch)
    return store.entries, store.incarnations


class KeepsLastReceived(EntryStore):
    """A sabotaged store: it keeps the entry that arrived last, whatever its rank."""

    def apply(self, now, entry):
        self.set(entry, now - entry.age_ns)
        return True


class DropsDeltaEntries(AntiEntropyExchange):
    """A sabotaged exchange: it omits an entry, but marks the owner as complete."""

    def on_offer(self, now, offer):
        delta = super().on_offer(now, offer)
        return type(delta)(delta.entries[1:], delta.complete_up_to, delta.reply_digest)


class Merge(unittest.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(ENTRIES, ENTRIES, ENTRIES)
    def test_merging_in_any_order_grouping_and_repetition_is_the_same(self, first, second, third):
        batches = [[with_value_of_its_rank(entry) for entry in batch] for batch in (first, second, third)]
        first, second, third = batches
        expected = merged(first, second, third)
        self.assertTrue(all(merged(*order) == expected for order in itertools.permutations(batches)))
        self.assertEqual(merged(first + second + third), expected)
        self.assertEqual(merged(first, second, third, first, third, second, first), expected)

    def test_order_check_fails_for_a_store_that_keeps_the_last_received(self):
        old, new = (with_value_of_its_rank(Entry("a", "k", 1, version, 0, b"")) for version in (1, 2))
        first = KeepsLastReceived("me", 1)
        second = KeepsLastReceived("me", 1)
        first.merge(NOW, [old, new])
        second.merge(NOW, [new, old])
        self.assertNotEqual(first.entries, second.entries)

    def test_a_later_incarnation_replaces_all_of_a_former_one(self):
        store = EntryStore("me", 1)
        store.merge(NOW, [Entry("a", "k", 5, 9, 0, b"old"), Entry("a", "only", 5, 10, 0, b"old")])
        store.merge(NOW, [Entry("a", "k", 6, 1, 0, b"new")])
        store.merge(NOW, [Entry("a", "only", 5, 10, 0, b"old")])  # a replay
        self.assertEqual([known.value for known in store.latest_values(NOW, "k")], [b"new"])
        self.assertEqual(store.latest_values(NOW, "only"), [])

    def test_own_entries_are_written_by_their_owner_alone(self):
        store = EntryStore("me", 1)
        store.put(NOW, "k", b"mine")
        store.merge(NOW, [Entry("me", "k", 9, 9, 0, b"not mine")])
        self.assertEqual(store.latest_values(NOW, "k")[0].value, b"mine")
        store.adopt_incarnation(10)
        other = EntryStore("you", 1)
        other.merge(NOW, [Entry("me", "k", 9, 9, 0, b"a former incarnation")])
        other.merge(NOW, store.missing_entries(NOW, {})[0])
        self.assertEqual(other.latest_values(NOW, "k")[0].value, b"mine")


class Ages(unittest.TestCase):
    def test_ages_are_correct_between_clocks_an_hour_apart(self):
        first, second, third = (EntryStore(name, 1) for name in "abc")
        first.put(NOW, "k", b"v")
        for source, sent_at, receiver, received_at in (
            (first, NOW + 2 * S, second, NOW + 3600 * S),
            (second, NOW + 3603 * S, third, NOW - 3600 * S),
        ):
            entries, complete_up_to = source.missing_entries(sent_at, receiver.digest())
            receiver.merge(received_at, entries)
            receiver.mark_complete(complete_up_to)
        self.assertEqual(third.latest_values(NOW - 3599 * S, "k")[0].age_ns, 6 * S)

    def test_reading_with_and_without_a_maximum_age(self):
        store = EntryStore("a", 1)
        store.merge(NOW, [Entry("b", "k", 1, 1, 4 * S, b"b"), Entry("c", "k", 1, 1, S, b"c")])
        self.assertEqual(
            [(known.owner, known.age_ns) for known in store.latest_values(NOW, "k")], [("c", S), ("b", 4 * S)]
        )
        self.assertEqual([known.owner for known in store.values_within_age(NOW, "k", 2 * S)], ["c"])
        self.assertEqual(store.values_within_age(NOW + 60 * S, "k", 2 * S), [])

    def test_entries_of_a_departed_owner_and_tombstones_expire(self):
        store = EntryStore("a", 1, retention_ns=10 * S)
        store.merge(NOW, [Entry("b", "k", 1, 1, 0, b"b")])
        store.put(NOW, "mine", b"x")
        store.delete(NOW, "mine")
        self.assertEqual(store.latest_values(NOW, "mine"), [])
        store.expire(NOW, {"b"})
        store.expire(NOW + 9 * S, {"b"})
        self.assertEqual(len(store.entries), 2)
        store.expire(NOW + 10 * S, {"b"})
        self.assertEqual((store.entries, store.size_bytes, dict(store.bytes_by_owner)), ({}, 0, {}))


class Caps(unittest.TestCase):
    def test_at_the_cap_the_largest_owner_is_evicted_and_own_entries_are_rejected(self):
        store = EntryStore("a", 1, cap_bytes=10_000)
        store.put(NOW, "mine", b"x" * 100)
        store.merge(NOW, [Entry("big", f"k{n}", 1, n + 1, 0, b"x" * 100) for n in range(40)])
        self.assertLessEqual(store.size_bytes, 10_000)
        self.assertGreater(store.shed["big"], 0)
        self.assertTrue(store.apply(NOW, Entry("small", "k", 1, 1, 0, b"y" * 100)))
        self.assertEqual(store.latest_values(NOW, "mine")[0].value, b"x" * 100)
        with self.assertRaises(StoreFullError):
            store.put(NOW, "more", b"x" * 9_000)
        self.assertLessEqual(store.size_bytes, 10_000)

    def test_store_with_blocked_growth_updates_known_entries_and_sheds_new_ones(self):
        store = EntryStore("a", 1)
        store.merge(NOW, [Entry("b", "k", 1, 1, 0, b"old")])
        store.growth_blocked = True
        store.merge(
            NOW,
            [
                Entry("b", "k", 1, 2, 0, b"new"),
                Entry("b", "more", 1, 3, 0, b"x"),
                Entry("c", "k", 1, 1, 0, b"x"),
            ],
        )
        self.assertEqual([(k.owner, k.value) for k in store.latest_values(NOW, "k")], [("b", b"new")])
        self.assertEqual(dict(store.shed), {"b": 1, "c": 1})

    def test_shed_entries_are_sent_again_when_there_is_room(self):
        owner = EntryStore("b", 1)
        reader = EntryStore("a", 1, cap_bytes=3_000)
        for number in range(20):
            owner.put(NOW, f"k{number}", b"x" * 100)
        ours = AntiEntropyExchange(reader, random.Random(0), NOW)
        theirs = AntiEntropyExchange(owner, random.Random(1), NOW)
        ours.on_delta(NOW, theirs.on_offer(NOW, ours.offer()))
        self.assertLess(len(reader.entries), 20)
        reader.cap_bytes = 100_000
        ours.on_delta(NOW, theirs.on_offer(NOW, ours.offer()))
        self.assertEqual(len(reader.entries), 20)


class Spread(unittest.TestCase):
    """Each member starts one exchange per period; every 100 ms all ages are compared with the bound."""

    def simulate(self, count, seed, seconds, make=AntiEntropyExchange, split=None):
        names = [f"m{n:03}" for n in range(count)]
        stores = {name: EntryStore(name, 1) for name in names}
        exchanges = {name: make(stores[name], random.Random(f"{seed} {name}"), NOW) for name in names}
        worst = 0
        for now in range(NOW, NOW + seconds * S, 100 * MS):
            for name in names:
                if (now - NOW) % S == 0:
                    stores[name].put(now, "k", str(now).encode())  # a fresh entry each second
                reachable = [
                    other
                    for other in names
                    if other != name and (split is None or split(name) == split(other))
                ]
                if (other := exchanges[name].next_peer(now, reachable)) is not None:
                    answer, _ = exchanges[name].on_delta(
                        now, exchanges[other].on_offer(now, exchanges[name].offer())
                    )
                    if answer:
                        exchanges[other].on_delta(now, answer)
            if now > NOW + staleness_bound_ns(count, S, S):
                for name in names:
                    known = {k.owner: k.age_ns for k in stores[name].latest_values(now, "k")}
                    for other in names:
                        if split is None or split(name) == split(other):
                            worst = max(worst, known.get(other, 10**18))
        return worst

    def test_no_entry_is_older_than_the_bound_anywhere(self):
        for count, seconds in ((3, 40), (8, 40), (24, 80)):
            self.assertLessEqual(
                self.simulate(count, 1, seconds), staleness_bound_ns(count, S, S) + S
            )  # plus the second until the owner rewrites the entry

    def test_bound_holds_within_each_side_of_a_partition(self):
        self.assertLessEqual(
            self.simulate(9, 2, 40, split=lambda name: name < "m004"), staleness_bound_ns(9, S, S) + S
        )

    def test_bound_check_fails_for_dropped_delta_entries(self):
        self.assertGreater(self.simulate(3, 1, 60, make=DropsDeltaEntries), staleness_bound_ns(3, S, S) + S)


if __name__ == "__main__":
    unittest.main()
