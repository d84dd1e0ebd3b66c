"""Replicated configuration: the subscriber, without I/O."""

import random
import unittest

from control_histories import WRITES, S, current_entries, entries_from_writes, store_from_entries
from hypothesis import given, settings, strategies as st

from embertray.cluster.replication.codec import decode_from_subscriber
from embertray.cluster.replication.entry import Entry
from embertray.cluster.replication.instructions import CloseConnection, OpenConnection, SendMessage
from embertray.cluster.replication.messages import (
    Confirm,
    Heartbeat,
    Inventory,
    InventoryItem,
    Subscribe,
    Update,
)
from embertray.cluster.replication.subscriber import Subscriber
from embertray.cluster.replication.timing import SubscriberTiming


class SubscriberTests(unittest.TestCase):
    def setUp(self):
        self.now = 100 * S
        self.subscriber = Subscriber("c", "s", ["r1", "r2", "r3"], self.now, random.Random(1))

    def advance_until(self, kind):
        """Advances the time until the subscriber requests an action of the given type, and returns it."""
        for _ in range(100):
            for action in self.take_actions():
                if isinstance(action, kind):
                    return action
            self.now = max(self.now, self.subscriber.next_at())
            self.subscriber.advance(self.now)
        self.fail(f"no {kind.__name__}")

    def take_actions(self):
        actions, self.subscriber.actions = self.subscriber.actions, []
        return actions

    def connect(self):
        self.subscriber.connection_opened(self.now, self.advance_until(OpenConnection).connection_id)
        self.take_actions()

    def receive(self, message):
        self.subscriber.receive(self.now, self.subscriber.connection_id, message, 100)

    def sent_messages(self):
        return [
            decode_from_subscriber(action.data)
            for action in self.take_actions()
            if isinstance(action, SendMessage)
        ]

    def test_an_update_after_a_gap_is_not_applied_but_requested_again(self):
        self.connect()
        self.receive(Update(0, 2, [Entry("a", 2, 1, "", b"2")]))
        self.receive(Update(4, 5, [Entry("b", 5, 1, "", b"5")]))  # revisions 3 and 4 are missing
        self.assertEqual((self.subscriber.revision, self.subscriber.store.get("b")), (2, None))
        self.assertEqual([type(message) for message in self.sent_messages()], [Confirm, Subscribe])

    def test_repeated_and_older_entries_are_ignored(self):
        self.connect()
        new, old = Entry("a", 3, 1, "", b"new"), Entry("a", 2, 1, "", b"old")
        self.receive(Update(0, 3, [new]))
        self.receive(Update(0, 3, [new]))
        self.receive(Update(0, 2, [old]))
        self.assertEqual(self.subscriber.applied, [new])
        self.assertEqual((self.subscriber.revision, self.subscriber.counters["duplicates"]), (3, 2))

    def test_a_removal_is_not_undone_by_an_older_entry(self):
        self.connect()
        self.receive(Update(0, 4, [Entry("a", 4, 1, "", None)]))
        self.receive(Update(0, 3, [Entry("a", 3, 1, "", b"before")]))
        self.assertIsNone(self.subscriber.store.get("a"))

    def test_messages_of_an_earlier_connection_are_dropped(self):
        self.connect()
        earlier = self.subscriber.connection_id
        self.subscriber.connection_lost(self.now, earlier)
        self.connect()
        self.subscriber.receive(self.now, earlier, Update(0, 1, [Entry("a", 1, 1, "", b"1")]), 50)
        self.assertEqual(self.subscriber.revision, 0)

    def test_a_silent_replica_is_left_for_the_next_one(self):
        self.connect()
        started_at = self.now
        self.advance_until(CloseConnection)
        self.assertEqual(
            (self.now - started_at, self.subscriber.replica), (SubscriberTiming().silence_timeout, "r2")
        )

    def test_a_connection_attempt_times_out(self):
        connect = self.advance_until(OpenConnection)
        started_at = self.now
        self.assertEqual(self.advance_until(CloseConnection).connection_id, connect.connection_id)
        self.assertEqual(self.now - started_at, SubscriberTiming().connect_timeout)

    def test_the_backoff_grows_to_a_bound_when_no_replica_answers(self):
        connected_at = []
        for _ in range(40):
            self.subscriber.connection_lost(self.now, self.advance_until(OpenConnection).connection_id)
            connected_at.append(self.now)
        rounds = [b - a for a, b in zip(connected_at[::3], connected_at[3::3], strict=False)]
        self.assertGreater(rounds[-1], rounds[0])
        timing = SubscriberTiming()
        self.assertLessEqual(max(rounds), timing.max_retry_delay + 3 * timing.initial_retry_delay)

    def test_a_stale_replica_is_left_unless_all_are_stale(self):
        stale = SubscriberTiming().stale_after
        for name in ("r1", "r2", "r3"):
            self.connect()
            self.assertEqual(self.subscriber.replica, name)
            self.receive(Heartbeat(0, 0, stale + 1, self.now))
        self.connect()
        self.receive(Heartbeat(0, 0, stale + 1, self.now))
        self.assertTrue(self.subscriber.connected)
        self.now += stale
        self.receive(Heartbeat(0, 0, stale + 1, self.now))
        self.assertFalse(self.subscriber.connected)

    def test_it_fails_back_to_its_first_replica(self):
        self.subscriber.connection_lost(self.now, self.advance_until(OpenConnection).connection_id)
        self.connect()
        self.assertEqual(self.subscriber.replica, "r2")
        started_at = self.now
        while self.subscriber.replica != "r1":
            self.now += S
            self.receive(Heartbeat(0, 0, 0, self.now))
            self.subscriber.advance(self.now)
        self.assertEqual(self.now - started_at, SubscriberTiming().failback_delay)

    def test_a_delayed_heartbeat_does_not_lower_the_age(self):
        self.connect()
        stamp = self.now
        self.now += 30 * S  # the heartbeat was delayed for this long
        self.receive(Heartbeat(0, 0, 0, stamp))
        self.assertEqual(self.subscriber.age(self.now), 30 * S)

    def test_restored_entries_have_their_saved_age(self):
        entry = Entry("a", 3, 1, "", b"kept")
        restarted = Subscriber(
            "c", "s", ["r"], 100 * S, random.Random(1), entries=[entry], revision=3, known_at=40 * S
        )
        self.assertEqual(
            (restarted.store.get("a"), restarted.revision, restarted.age(100 * S)), (entry, 3, 60 * S)
        )

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(WRITES, st.lists(st.tuples(st.integers(0, 40), st.integers(0, 40)), max_size=30))
    def test_any_updates_lead_to_the_replicas_state_and_never_go_back(self, writes, spans):
        complete = store_from_entries(entries_from_writes(writes))
        subscriber = Subscriber("c", "s", ["r"], 0, random.Random(1))
        subscriber.advance(0)
        subscriber.connection_opened(0, subscriber.connection_id)
        last = complete.revision
        for since, upto in [*spans, (0, last)]:
            since, upto = min(since, last), min(upto, last)
            changes = [
                entry for entry in store_from_entries(entries_from_writes(writes[:upto])).entries_since(since)
            ]
            subscriber.receive(0, subscriber.connection_id, Update(since, upto, changes), 10)
        self.assertEqual(
            (subscriber.revision, current_entries(subscriber.store)), (last, current_entries(complete))
        )
        newest = {}
        for entry in subscriber.applied:
            self.assertGreater(entry.revision, newest.get(entry.key, 0))
            newest[entry.key] = entry.revision

    def test_an_inventory_removes_keys_that_the_replica_no_longer_has(self):
        self.connect()
        self.receive(Update(0, 2, [Entry("a", 1, 1, "", b"1"), Entry("b", 2, 1, "", b"2")]))
        self.take_actions()
        bucket = next(n for n, keys in enumerate(self.subscriber.store.bucket_keys) if "a" in keys)
        self.receive(Inventory(bucket, 2, []))
        self.assertIsNone(self.subscriber.store.get("a"))
        self.assertEqual(self.subscriber.applied[-1].value, None)

    def test_a_corrupt_entry_past_the_revision_is_not_requested(self):
        self.connect()
        entry = Entry("a", 5, 1, "", b"corrupt")
        self.subscriber.store.apply(entry)
        self.subscriber.store.advance(4)
        bucket = next(n for n, keys in enumerate(self.subscriber.store.bucket_keys) if "a" in keys)
        self.receive(Inventory(bucket, 5, [InventoryItem("a", 5, entry.fingerprint + 1)]))
        # the next update brings the entry
        self.assertEqual((self.subscriber.store.get("a"), self.sent_messages()), (None, []))


if __name__ == "__main__":
    unittest.main()
