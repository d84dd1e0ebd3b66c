"""Replicated configuration: versioned store, token bucket, freshness and codec, without I/O."""

import random
import unittest

from control_histories import MS, WRITES, S, current_entries, entries_from_writes, store_from_entries
from hypothesis import given, settings, strategies as st

from embertray.cluster.replication.codec import (
    decode_from_subscriber,
    decode_replica_message,
    decode_to_subscriber,
    encode,
)
from embertray.cluster.replication.exceptions import MalformedMessageError
from embertray.cluster.replication.freshness import AGE_UNKNOWN, Freshness
from embertray.cluster.replication.messages import VERSION, Confirm, Heartbeat, Subscribe
from embertray.cluster.replication.store import (
    MAX_TOMBSTONES,
    MAX_VERSIONS_PER_KEY,
    VersionedStore,
    export_versions,
    restore_store,
)
from embertray.cluster.replication.timing import FeedSettings
from embertray.cluster.replication.token_bucket import TokenBucket


class StoreTests(unittest.TestCase):
    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(WRITES, st.randoms(use_true_random=False))
    def test_entries_in_any_order_and_repeated_give_the_same_state(self, writes, rng):
        entries = entries_from_writes(writes)
        complete = store_from_entries(entries)
        shuffled = entries * 2
        rng.shuffle(shuffled)
        other = VersionedStore()
        for entry in shuffled:
            other.apply(entry)
        self.assertEqual(current_entries(complete), current_entries(other))
        self.assertEqual(complete.digests, other.digests)
        self.assertEqual(complete.live_count, len(current_entries(other)))
        self.assertEqual(complete.live_bytes, sum(entry.size for entry in current_entries(other).values()))
        self.assertEqual(
            [entry.revision for entry in other.entries_since(0)],
            sorted(entry.revision for entry in other.entries_since(0)),
        )

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(WRITES, st.integers(0, 40))
    def test_entries_since_bring_an_earlier_state_up_to_date(self, writes, cut):
        entries = entries_from_writes(writes)
        complete, earlier = store_from_entries(entries), store_from_entries(entries[:cut])
        changes = list(complete.entries_since(earlier.revision))
        self.assertEqual(len({entry.key for entry in changes}), len(changes))  # one entry per key
        for entry in changes:
            earlier.apply(entry)
        self.assertEqual(
            (current_entries(earlier), earlier.digest), (current_entries(complete), complete.digest)
        )

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(WRITES)
    def test_exported_versions_are_restored(self, writes):
        store = store_from_entries(entries_from_writes(writes))
        again = restore_store(
            store.revision, store.term, export_versions(store), store.requests.items(), store.forgotten
        )
        self.assertEqual((again.revision, again.term), (store.revision, store.term))
        self.assertEqual((again.entries, again.digests), (store.entries, store.digests))
        self.assertEqual(
            {key: list(versions) for key, versions in again.versions.items()},
            {key: list(versions) for key, versions in store.versions.items()},
        )
        self.assertEqual((again.requests, again.bytes), (store.requests, store.bytes))

    def test_a_limited_number_of_versions_is_kept(self):
        store = store_from_entries(
            entries_from_writes([("a", bytes([n])) for n in range(3 * MAX_VERSIONS_PER_KEY)])
        )
        self.assertEqual(len(store.versions["a"]), MAX_VERSIONS_PER_KEY)
        self.assertIsNone(store.entry_at("a", 1))
        self.assertEqual(
            store.entry_at("a", 3 * MAX_VERSIONS_PER_KEY - 1).value, bytes([3 * MAX_VERSIONS_PER_KEY - 2])
        )
        self.assertEqual(store.bytes, sum(entry.size for entry in store.versions["a"]))

    def test_the_oldest_tombstones_are_dropped_and_recorded_as_forgotten(self):
        writes = [(f"k{n}", b"x") for n in range(MAX_TOMBSTONES + 5)]
        store = store_from_entries(entries_from_writes(writes + [(key, None) for key, _ in writes]))
        self.assertEqual(store.forgotten, len(writes) + 5)
        self.assertEqual((len(store.entries), store.live_count, store.digest), (MAX_TOMBSTONES, 0, 0))


class TokenBucketTests(unittest.TestCase):
    def test_no_ten_seconds_exceed_the_budget(self):
        settings = FeedSettings()
        bucket, sent, rng = (
            TokenBucket(settings.sustained_bytes_per_second, settings.burst_bytes, 0),
            [],
            random.Random(1),
        )
        for now in range(0, 60 * S, 20 * MS):
            size = rng.randrange(1, settings.burst_bytes)
            if bucket.allows(now, size):
                bucket.spend(size)
                sent.append((now, size))
        for begin, _ in sent:
            within = sum(size for at, size in sent if begin <= at < begin + 10 * S)
            self.assertLessEqual(within, 10 * settings.bytes_per_second)

    def test_ready_at_is_the_time_when_a_message_is_allowed(self):
        bucket = TokenBucket(1_000, 2_000, 0)
        bucket.spend(2_000)
        when = bucket.ready_at(0, 500)
        self.assertFalse(bucket.allows(when - 2, 500))
        self.assertTrue(bucket.allows(when, 500))


class FreshnessTests(unittest.TestCase):
    def test_an_age_counts_once_the_revision_is_held(self):
        freshness = Freshness()
        self.assertIsNone(freshness.age(9 * S))
        freshness.observe_commit(10 * S, commit=5, age=1 * S, revision=4)
        self.assertIsNone(freshness.age(11 * S))
        freshness.revision_reached(5)
        self.assertEqual(freshness.age(11 * S), 2 * S)

    def test_an_unknown_age_is_advertised_as_unknown(self):
        freshness = Freshness()
        freshness.observe_commit(10 * S, commit=1, age=AGE_UNKNOWN, revision=1)
        self.assertIsNone(freshness.age(10 * S))
        self.assertEqual(freshness.advertised_age(10 * S), AGE_UNKNOWN)

    def test_an_older_observation_changes_nothing(self):
        freshness = Freshness()
        freshness.observe_commit(10 * S, commit=1, age=0, revision=1)
        freshness.observe_commit(9 * S, commit=1, age=0, revision=1)
        self.assertEqual(freshness.age(10 * S), 0)


class CodecTests(unittest.TestCase):
    def test_malformed_messages_are_rejected(self):
        good = encode(Subscribe("c", VERSION, "s", 0, 0, 0))
        for data in (b"", b"\xc1", good[:-1], good + b"x", b"\x93\x01\x02\x03", encode(Confirm(1, 1))[1:]):
            for decode in (decode_from_subscriber, decode_to_subscriber, decode_replica_message):
                self.assertRaises(MalformedMessageError, decode, data)
        self.assertRaises(MalformedMessageError, decode_to_subscriber, good)
        self.assertRaises(
            MalformedMessageError, decode_from_subscriber, encode(Subscribe("c", VERSION, "", 0, 0, 0))
        )
        self.assertRaises(MalformedMessageError, decode_from_subscriber, encode(Confirm(-1, 0)))

    def test_the_largest_numbers_are_decoded(self):
        heartbeat = Heartbeat(2**62, 2**64 - 1, AGE_UNKNOWN, 2**62)
        self.assertEqual(decode_to_subscriber(encode(heartbeat)), heartbeat)


if __name__ == "__main__":
    unittest.main()
