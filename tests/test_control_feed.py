"""Replicated configuration: what a replica sends to its subscribers, without I/O."""

import random
import unittest

from control_histories import MS, S, current_entries

from embertray.cluster.replication.codec import decode_from_subscriber, decode_to_subscriber, encode
from embertray.cluster.replication.entry import Entry
from embertray.cluster.replication.exceptions import SubscriberRejectedError
from embertray.cluster.replication.instructions import SendMessage
from embertray.cluster.replication.messages import VERSION, Confirm, Repair, Subscribe, Update
from embertray.cluster.replication.store import MAX_TOMBSTONES, VersionedStore
from embertray.cluster.replication.subscriber import Subscriber
from embertray.cluster.replication.subscriber_feed import SubscriberFeed


class FeedTests(unittest.TestCase):
    def setUp(self):
        self.store, self.now = VersionedStore(), 100 * S
        self.feed = SubscriberFeed("c", lambda: self.store, self.now)

    def write(self, key, value):
        revision = self.store.revision + 1
        self.store.apply(Entry(key, revision, 1, "", value))
        self.store.advance(revision, 1)

    def subscribe(self, name="s", revision=0):
        self.feed.receive(self.now, name, Subscribe("c", VERSION, name, revision, self.now, 8_000))

    def advance(self, span=0):
        """Advances the feed and returns (subscriber, decoded message) pairs."""
        self.now += span
        messages, self.silent = self.feed.advance(self.now, 0)
        return [(message.subscriber, decode_to_subscriber(message.data)) for message in messages]

    def updates(self, span=0):
        return [message for _, message in self.advance(span) if isinstance(message, Update)]

    def test_only_the_newest_entry_of_each_key_is_sent(self):
        self.subscribe()
        self.advance()
        for n in range(5):
            self.write("a", bytes([n]))
        self.write("b", b"1")
        [update] = self.updates()
        self.assertEqual([(e.key, e.value) for e in update.entries], [("a", b"\x04"), ("b", b"1")])
        self.assertEqual((update.since, update.upto), (0, 6))

    def test_one_update_is_in_flight_and_is_retried_with_backoff(self):
        self.subscribe()
        self.write("a", b"1")
        self.assertEqual(len(self.updates()), 1)
        self.write("b", b"1")
        self.assertEqual(self.updates(), [])  # the first update is not confirmed
        sent_at = []
        for _ in range(3_000):
            self.feed.receive(self.now, "s", Confirm(0, self.now))  # alive, but nothing applied
            if self.updates(10 * MS):
                sent_at.append(self.now)
        intervals = [(later - earlier) // S for earlier, later in zip(sent_at, sent_at[1:], strict=False)]
        self.assertEqual(intervals, [2, 4, 8, 8])
        self.assertEqual(self.feed.retries, 5)
        self.feed.receive(self.now, "s", Confirm(2, self.now))
        self.assertEqual(self.updates(60 * MS), [])

    def test_a_backlog_is_sent_completely_and_within_the_budget(self):
        for n in range(400):
            self.write(f"k{n}", bytes(100))
        self.subscribe()
        total, confirmed, sent = 0, 0, []
        while confirmed < self.store.revision:
            for _, message in self.advance(10 * MS):
                size = len(encode(message)) + 4
                sent.append((self.now, size))
                if isinstance(message, Update):
                    self.assertEqual(message.since, confirmed)
                    confirmed = message.upto
                    total += len(message.entries)
                    self.feed.receive(self.now, "s", Confirm(confirmed, self.now))
        self.assertEqual(total, 400)
        for begin, _ in sent:
            window = sum(size for at, size in sent if begin <= at < begin + 10 * S)
            self.assertLessEqual(window, 10 * self.feed.settings.bytes_per_second)
        self.assertLess(
            sent[-1][0] - sent[0][0], (400 * 160 // self.feed.settings.sustained_bytes_per_second + 2) * S
        )

    def test_a_new_write_does_not_wait_for_the_backlog_of_a_returning_subscriber(self):
        """Guards against a new write that reaches a returning subscriber only after its whole backlog."""
        for n in range(400):
            self.write(f"k{n}", bytes(100))
        subscriber = Subscriber("c", "s", ["r"], self.now, random.Random(1))
        started_at, written_at, applied_at = self.now, {}, {}
        subscriber.connection_id, subscriber.connecting = 1, True
        subscriber.connection_opened(self.now, 1)
        while self.now < started_at + 30 * S:
            if self.now > started_at and self.now % S == 0 and len(written_at) < 15:
                written_at[f"new{len(written_at)}"] = self.now
                self.write(f"new{len(written_at) - 1}", bytes(100))
            self.exchange_messages(subscriber, 10 * MS)
            for entry in subscriber.applied:
                self.assertNotIn(entry.key, applied_at)
                applied_at[entry.key] = self.now
            subscriber.applied = []
        self.assertEqual(len(applied_at), 415)
        self.assertEqual((subscriber.revision, subscriber.store.digest), (415, self.store.digest))
        self.assertEqual(subscriber.counters["repairs"], 0)
        self.assertLess(max(applied_at[key] - written_at[key] for key in written_at), 3 * S)
        self.assertLess(
            max(applied_at.values()) - started_at,
            (415 * 160 // self.feed.settings.sustained_bytes_per_second + 3) * S,
        )

    def test_a_removal_sent_ahead_of_the_backlog_is_not_applied_again_after_a_restart(self):
        for n in range(100):
            self.write(f"k{n}", bytes(100))
        subscriber = Subscriber("c", "s", ["r"], self.now, random.Random(1))
        subscriber.connection_id, subscriber.connecting = 1, True
        subscriber.connection_opened(self.now, 1)
        self.exchange_messages(subscriber, S)
        self.write("k99", None)
        self.exchange_messages(subscriber, S)
        self.assertIn(("k99", None), [(entry.key, entry.value) for entry in subscriber.applied])
        self.assertLess(subscriber.revision, 100)
        on_disk = list(subscriber.store.entries_since(0))
        restarted = Subscriber(
            "c", "s", ["r"], self.now, random.Random(2), entries=on_disk, revision=subscriber.revision
        )
        restarted.connection_id, restarted.connecting = 2, True
        restarted.connection_opened(self.now, 2)
        self.exchange_messages(restarted, 20 * S)
        self.assertEqual(restarted.revision, 101)
        self.assertNotIn("k99", [entry.key for entry in restarted.applied])

    def test_continuous_writes_do_not_starve_the_backlog_of_a_returning_subscriber(self):
        for n in range(100):
            self.write(f"k{n}", bytes(100))
        self.subscribe()
        confirmed = 0
        for n in range(4_000):
            if n % 4 == 0:
                self.write("hot", bytes(100))
            for update in self.updates(10 * MS):
                confirmed = max(confirmed, update.upto)
                self.feed.receive(self.now, "s", Confirm(confirmed, self.now))
        self.assertGreater(confirmed, 100)

    def test_a_returning_subscriber_reports_its_remaining_budget(self):
        for n in range(100):
            self.write(f"k{n}", bytes(100))
        self.feed.receive(self.now, "s", Subscribe("c", VERSION, "s", 0, self.now, 0))
        self.assertEqual(self.updates(), [])

    def test_the_largest_value_is_sent_in_one_update(self):
        self.write("large", bytes(self.feed.settings.max_value_bytes))
        self.write("small", b"1")
        self.subscribe()
        received = []
        for _ in range(1_000):
            for update in self.updates(10 * MS):
                received += update.entries
                self.feed.receive(self.now, "s", Confirm(update.upto, self.now))
        self.assertEqual([entry.key for entry in received], ["large", "small"])

    def test_silent_subscribers_are_dropped_and_invalid_messages_rejected(self):
        self.subscribe()
        self.advance()
        self.advance(self.feed.settings.silence_timeout + 2 * S)
        self.assertEqual((self.silent, self.feed.count), (["s"], 0))
        for message in (
            Subscribe("other", VERSION, "x", 0, 0, 0),
            Subscribe("c", VERSION + 1, "x", 0, 0, 0),
            Subscribe("c", VERSION, "y", 0, 0, 0),
            Confirm(1, 1),
        ):
            with self.assertRaises(SubscriberRejectedError):
                self.feed.receive(self.now, "x", message)
        self.subscribe("z")
        with self.assertRaises(SubscriberRejectedError):
            self.feed.receive(self.now, "z", Repair([0]))

    def test_only_subscribers_with_events_are_served(self):
        for n in range(50):
            self.subscribe(f"s{n}")
        self.advance()
        self.feed.receive(self.now, "s7", Confirm(0, self.now))
        self.assertEqual(list(self.feed.schedule.pending), ["s7"])
        self.assertEqual(self.feed._due(self.now), ["s7"])

    def test_a_corrupt_subscriber_is_repaired(self):
        for n in range(30):
            self.write(f"k{n}", b"1")
        self.write("k3", None)
        subscriber = Subscriber("c", "s", ["r"], self.now, random.Random(1))
        own = [entry for entry in self.store.live_entries() if entry.key != "k5"]
        own.append(Entry("stray", 2, 1, "", b"never removed here"))
        own[4] = Entry(own[4].key, own[4].revision, 1, "", b"spoilt")
        for entry in own:
            subscriber.store.apply(entry)
        subscriber.store.advance(self.store.revision)
        self.exchange_messages(subscriber, 12 * S)
        self.assertEqual(current_entries(subscriber.store), current_entries(self.store))
        self.assertEqual(subscriber.store.digest, self.store.digest)
        self.assertEqual(subscriber.counters["repairs"], 1)

    def test_a_subscriber_behind_dropped_tombstones_is_repaired(self):
        for n in range(20):
            self.write(f"old{n}", b"1")
        subscriber = Subscriber("c", "s", ["r"], self.now, random.Random(1))
        for entry in self.store.live_entries():
            subscriber.store.apply(entry)
        subscriber.store.advance(self.store.revision)
        for n in range(20):
            self.write(f"old{n}", None)
        for _ in range(MAX_TOMBSTONES):
            self.write("other", b"1")
            self.write("other", None)
        self.assertGreater(self.store.forgotten, subscriber.revision)
        self.exchange_messages(subscriber, 15 * S)
        self.assertEqual((current_entries(subscriber.store), subscriber.store.digest), ({}, 0))
        removed = {entry.key for entry in subscriber.applied if entry.value is None}
        self.assertLessEqual({f"old{n}" for n in range(20)}, removed)

    def exchange_messages(self, subscriber, span):
        """Exchanges messages between feed and subscriber for `span` ns, without loss."""
        end = self.now + span
        subscriber.advance(self.now)
        subscriber.connection_opened(self.now, subscriber.connection_id)
        while self.now < end:
            for action in subscriber.actions:
                if isinstance(action, SendMessage):
                    self.feed.receive(self.now, "s", decode_from_subscriber(action.data))
            subscriber.actions.clear()
            for _, message in self.advance(20 * MS):
                subscriber.receive(self.now, subscriber.connection_id, message, 100)


if __name__ == "__main__":
    unittest.main()
