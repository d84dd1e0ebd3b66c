"""The control plane's cores: store, feed, subscriber, replica; without I/O or time of their own."""

import random
import unittest

from hypothesis import given, settings, strategies as st

from embertray.cluster.replication.codec import (
    decode_from_subscriber,
    decode_replica_message,
    decode_to_subscriber,
    encode,
)
from embertray.cluster.replication.entry import Entry
from embertray.cluster.replication.exceptions import (
    ConflictError,
    MalformedMessageError,
    NoMajorityError,
    NotLeaderError,
    OverloadedError,
    SubscriberRejectedError,
)
from embertray.cluster.replication.freshness import AGE_UNKNOWN, Freshness
from embertray.cluster.replication.instructions import CloseConnection, OpenConnection, SendMessage
from embertray.cluster.replication.messages import (
    VERSION,
    Confirm,
    Heartbeat,
    Inventory,
    RecoverReply,
    Repair,
    Subscribe,
    Update,
    Vote,
    VoteRequest,
)
from embertray.cluster.replication.propagation_bounds import Bounds
from embertray.cluster.replication.replica import Replica
from embertray.cluster.replication.replica_state import Role
from embertray.cluster.replication.store import (
    MAX_TOMBSTONES,
    MAX_VERSIONS_PER_KEY,
    VersionedStore,
    export,
    restore,
)
from embertray.cluster.replication.subscriber import Subscriber
from embertray.cluster.replication.subscriber_feed import SubscriberFeed
from embertray.cluster.replication.timing import FeedSettings, SubscriberTiming
from embertray.cluster.replication.token_bucket import TokenBucket

S = 10**9
MS = 10**6

WRITES = st.lists(
    st.tuples(st.sampled_from(["a", "b", "c", "d"]), st.one_of(st.none(), st.binary(max_size=8))),
    min_size=1,
    max_size=40,
)


def entries_of(writes):
    """Entries with rising revisions, as a history of writes."""
    return [
        Entry(key, revision, 1, f"q{revision}", value)
        for revision, (key, value) in enumerate(writes, start=1)
    ]


def store_of(entries):
    store = VersionedStore()
    for entry in entries:
        store.apply(entry)
        store.advance(entry.revision, entry.term)
    return store


def in_force(store):
    return {entry.key: entry for entry in store.live()}


class Store(unittest.TestCase):
    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(WRITES, st.randoms(use_true_random=False))
    def test_entries_in_any_order_and_again_give_one_state(self, writes, chance):
        entries = entries_of(writes)
        whole = store_of(entries)
        shuffled = entries * 2
        chance.shuffle(shuffled)
        other = VersionedStore()
        for entry in shuffled:
            other.apply(entry)
        self.assertEqual(in_force(whole), in_force(other))
        self.assertEqual(whole.digests, other.digests)
        self.assertEqual(whole.live_count, len(in_force(other)))
        self.assertEqual(whole.live_bytes, sum(entry.size for entry in in_force(other).values()))
        self.assertEqual(
            [one.revision for one in other.since(0)], sorted(one.revision for one in other.since(0))
        )

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(WRITES, st.integers(0, 40))
    def test_what_was_written_since_brings_a_former_state_up_to_date(self, writes, cut):
        entries = entries_of(writes)
        whole, former = store_of(entries), store_of(entries[:cut])
        changes = list(whole.since(former.revision))
        self.assertEqual(len({entry.key for entry in changes}), len(changes))  # of each key the newest
        for entry in changes:
            former.apply(entry)
        self.assertEqual((in_force(former), former.digest), (in_force(whole), whole.digest))

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(WRITES)
    def test_what_is_exported_is_restored(self, writes):
        store = store_of(entries_of(writes))
        again = restore(store.revision, store.term, export(store), store.requests.items(), store.forgotten)
        self.assertEqual((again.revision, again.term), (store.revision, store.term))
        self.assertEqual((again.entries, again.digests), (store.entries, store.digests))
        self.assertEqual(
            {key: list(versions) for key, versions in again.versions.items()},
            {key: list(versions) for key, versions in store.versions.items()},
        )
        self.assertEqual((again.requests, again.bytes), (store.requests, store.bytes))

    def test_former_versions_are_kept_up_to_a_number(self):
        store = store_of(entries_of([("a", bytes([n])) for n in range(3 * MAX_VERSIONS_PER_KEY)]))
        self.assertEqual(len(store.versions["a"]), MAX_VERSIONS_PER_KEY)
        self.assertIsNone(store.version("a", 1))
        self.assertEqual(
            store.version("a", 3 * MAX_VERSIONS_PER_KEY - 1).value, bytes([3 * MAX_VERSIONS_PER_KEY - 2])
        )
        self.assertEqual(store.bytes, sum(entry.size for entry in store.versions["a"]))

    def test_the_oldest_removals_are_forgotten_and_that_is_known(self):
        writes = [(f"k{n}", b"x") for n in range(MAX_TOMBSTONES + 5)]
        store = store_of(entries_of(writes + [(key, None) for key, _ in writes]))
        self.assertEqual(store.forgotten, len(writes) + 5)
        self.assertEqual((len(store.entries), store.live_count, store.digest), (MAX_TOMBSTONES, 0, 0))


class Budget(unittest.TestCase):
    def test_ten_seconds_never_spend_more_than_the_budget(self):
        pace = FeedSettings()
        bucket, spent, chance = TokenBucket(pace.sustained, pace.burst, 0), [], random.Random(1)
        for now in range(0, 60 * S, 20 * MS):
            size = chance.randrange(1, pace.burst)
            if bucket.allows(now, size):
                bucket.spend(size)
                spent.append((now, size))
        for begin, _ in spent:
            within = sum(size for at, size in spent if begin <= at < begin + 10 * S)
            self.assertLessEqual(within, 10 * pace.bytes_per_second)

    def test_when_a_message_may_go_is_foretold(self):
        bucket = TokenBucket(1_000, 2_000, 0)
        bucket.spend(2_000)
        when = bucket.ready_at(0, 500)
        self.assertFalse(bucket.allows(when - 2, 500))
        self.assertTrue(bucket.allows(when, 500))


class Ages(unittest.TestCase):
    def test_an_age_counts_once_the_revision_is_held(self):
        freshness = Freshness()
        self.assertIsNone(freshness.age(9 * S))
        freshness.observe_commit(10 * S, commit=5, age=1 * S, revision=4)
        self.assertIsNone(freshness.age(11 * S))
        freshness.revision_reached(5)
        self.assertEqual(freshness.age(11 * S), 2 * S)

    def test_who_knows_nothing_tells_nothing(self):
        freshness = Freshness()
        freshness.observe_commit(10 * S, commit=1, age=AGE_UNKNOWN, revision=1)
        self.assertIsNone(freshness.age(10 * S))
        self.assertEqual(freshness.advertised_age(10 * S), AGE_UNKNOWN)

    def test_an_older_word_changes_nothing(self):
        freshness = Freshness()
        freshness.observe_commit(10 * S, commit=1, age=0, revision=1)
        freshness.observe_commit(9 * S, commit=1, age=0, revision=1)
        self.assertEqual(freshness.age(10 * S), 0)


class Wire(unittest.TestCase):
    def test_what_is_no_message_is_refused(self):
        good = encode(Subscribe("c", VERSION, "s", 0, 0, 0))
        for data in (b"", b"\xc1", good[:-1], good + b"x", b"\x93\x01\x02\x03", encode(Confirm(1, 1))[1:]):
            for decode in (decode_from_subscriber, decode_to_subscriber, decode_replica_message):
                self.assertRaises(MalformedMessageError, decode, data)
        self.assertRaises(MalformedMessageError, decode_to_subscriber, good)
        self.assertRaises(
            MalformedMessageError, decode_from_subscriber, encode(Subscribe("c", VERSION, "", 0, 0, 0))
        )
        self.assertRaises(MalformedMessageError, decode_from_subscriber, encode(Confirm(-1, 0)))

    def test_the_largest_numbers_pass(self):
        heartbeat = Heartbeat(2**62, 2**64 - 1, AGE_UNKNOWN, 2**62)
        self.assertEqual(decode_to_subscriber(encode(heartbeat)), heartbeat)


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
        """Messages that go, decoded, by subscriber."""
        self.now += span
        out, self.silent = self.feed.advance(self.now, 0)
        return [(one.subscriber, decode_to_subscriber(one.data)) for one in out]

    def updates(self, span=0):
        return [message for _, message in self.advance(span) if isinstance(message, Update)]

    def test_only_the_newest_of_each_key_goes(self):
        self.subscribe()
        self.advance()
        for n in range(5):
            self.write("a", bytes([n]))
        self.write("b", b"1")
        [update] = self.updates()
        self.assertEqual([(e.key, e.value) for e in update.entries], [("a", b"\x04"), ("b", b"1")])
        self.assertEqual((update.since, update.upto), (0, 6))

    def test_one_update_is_under_way_and_goes_again_later_each_time(self):
        self.subscribe()
        self.write("a", b"1")
        self.assertEqual(len(self.updates()), 1)
        self.write("b", b"1")
        self.assertEqual(self.updates(), [])  # the first is not confirmed
        sent_at = []
        for _ in range(3_000):
            self.feed.receive(self.now, "s", Confirm(0, self.now))  # it lives, and has applied nothing
            if self.updates(10 * MS):
                sent_at.append(self.now)
        gaps = [(later - former) // S for former, later in zip(sent_at, sent_at[1:], strict=False)]
        self.assertEqual(gaps, [2, 4, 8, 8])
        self.assertEqual(self.feed.retries, 5)
        self.feed.receive(self.now, "s", Confirm(2, self.now))
        self.assertEqual(self.updates(60 * MS), [])

    def test_a_lot_is_paced_and_all_arrives(self):
        for n in range(400):
            self.write(f"k{n}", bytes(100))
        self.subscribe()
        total, held, spent = 0, 0, []
        while held < self.store.revision:
            for _, message in self.advance(10 * MS):
                size = len(encode(message)) + 4
                spent.append((self.now, size))
                if isinstance(message, Update):
                    self.assertEqual(message.since, held)
                    held = message.upto
                    total += len(message.entries)
                    self.feed.receive(self.now, "s", Confirm(held, self.now))
        self.assertEqual(total, 400)
        for begin, _ in spent:
            window = sum(size for at, size in spent if begin <= at < begin + 10 * S)
            self.assertLessEqual(window, 10 * self.feed.settings.bytes_per_second)
        self.assertLess(spent[-1][0] - spent[0][0], (400 * 160 // self.feed.settings.sustained + 2) * S)

    def test_who_comes_back_brings_what_its_budget_still_allows(self):
        for n in range(100):
            self.write(f"k{n}", bytes(100))
        self.feed.receive(self.now, "s", Subscribe("c", VERSION, "s", 0, self.now, 0))
        self.assertEqual(self.updates(), [])

    def test_the_largest_value_goes_in_one_update(self):
        self.write("large", bytes(self.feed.settings.max_value_bytes))
        self.write("small", b"1")
        self.subscribe()
        found = []
        for _ in range(1_000):
            for update in self.updates(10 * MS):
                found += update.entries
                self.feed.receive(self.now, "s", Confirm(update.upto, self.now))
        self.assertEqual([entry.key for entry in found], ["large", "small"])

    def test_the_silent_are_dropped_and_strangers_refused(self):
        self.subscribe()
        self.advance()
        self.advance(self.feed.settings.silence + 2 * S)
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

    def test_a_look_costs_what_changed(self):
        for n in range(50):
            self.subscribe(f"s{n}")
        self.advance()
        self.feed.receive(self.now, "s7", Confirm(0, self.now))
        self.assertEqual(list(self.feed.schedule.touched), ["s7"])
        self.assertEqual(self.feed._due(self.now), ["s7"])

    def test_a_spoilt_subscriber_is_repaired(self):
        for n in range(30):
            self.write(f"k{n}", b"1")
        self.write("k3", None)
        subscriber = Subscriber("c", "s", ["r"], self.now, random.Random(1))
        held = [entry for entry in self.store.live() if entry.key != "k5"]
        held.append(Entry("stray", 2, 1, "", b"never removed here"))
        held[4] = Entry(held[4].key, held[4].revision, 1, "", b"spoilt")
        for entry in held:
            subscriber.store.apply(entry)
        subscriber.store.advance(self.store.revision)
        self.converse(subscriber, 12 * S)
        self.assertEqual(in_force(subscriber.store), in_force(self.store))
        self.assertEqual(subscriber.store.digest, self.store.digest)
        self.assertEqual(subscriber.counters["repairs"], 1)

    def test_who_lags_behind_all_removals_that_are_kept_is_repaired(self):
        for n in range(20):
            self.write(f"old{n}", b"1")
        subscriber = Subscriber("c", "s", ["r"], self.now, random.Random(1))
        for entry in self.store.live():
            subscriber.store.apply(entry)
        subscriber.store.advance(self.store.revision)
        for n in range(20):
            self.write(f"old{n}", None)
        for _ in range(MAX_TOMBSTONES):
            self.write("other", b"1")
            self.write("other", None)
        self.assertGreater(self.store.forgotten, subscriber.revision)
        self.converse(subscriber, 15 * S)
        self.assertEqual((in_force(subscriber.store), subscriber.store.digest), ({}, 0))
        removed = {entry.key for entry in subscriber.applied if entry.value is None}
        self.assertLessEqual({f"old{n}" for n in range(20)}, removed)

    def converse(self, subscriber, span):
        """Lets feed and subscriber talk with nothing lost."""
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


class Subscribing(unittest.TestCase):
    def setUp(self):
        self.now = 100 * S
        self.subscriber = Subscriber("c", "s", ["r1", "r2", "r3"], self.now, random.Random(1))

    def until(self, kind):
        """Lets time pass until the subscriber does something of a kind."""
        for _ in range(100):
            for action in self.take():
                if isinstance(action, kind):
                    return action
            self.now = max(self.now, self.subscriber.next_at())
            self.subscriber.advance(self.now)
        self.fail(f"no {kind.__name__}")

    def take(self):
        actions, self.subscriber.actions = self.subscriber.actions, []
        return actions

    def connect(self):
        self.subscriber.connection_opened(self.now, self.until(OpenConnection).connection_id)
        self.take()

    def hear(self, message):
        self.subscriber.receive(self.now, self.subscriber.connection_id, message, 100)

    def said(self):
        return [decode_from_subscriber(one.data) for one in self.take() if isinstance(one, SendMessage)]

    def test_a_gap_is_asked_for_and_not_applied(self):
        self.connect()
        self.hear(Update(0, 2, [Entry("a", 2, 1, "", b"2")]))
        self.hear(Update(4, 5, [Entry("b", 5, 1, "", b"5")]))  # two were missed
        self.assertEqual((self.subscriber.revision, self.subscriber.store.get("b")), (2, None))
        self.assertEqual([type(one) for one in self.said()], [Confirm, Subscribe])

    def test_twice_and_older_change_nothing(self):
        self.connect()
        new, old = Entry("a", 3, 1, "", b"new"), Entry("a", 2, 1, "", b"old")
        self.hear(Update(0, 3, [new]))
        self.hear(Update(0, 3, [new]))
        self.hear(Update(0, 2, [old]))
        self.assertEqual(self.subscriber.applied, [new])
        self.assertEqual((self.subscriber.revision, self.subscriber.counters["duplicates"]), (3, 2))

    def test_a_removal_that_overtakes_nothing_stays(self):
        self.connect()
        self.hear(Update(0, 4, [Entry("a", 4, 1, "", None)]))
        self.hear(Update(0, 3, [Entry("a", 3, 1, "", b"before")]))
        self.assertIsNone(self.subscriber.store.get("a"))

    def test_what_a_former_connection_brings_is_dropped(self):
        self.connect()
        former = self.subscriber.connection_id
        self.subscriber.connection_lost(self.now, former)
        self.connect()
        self.subscriber.receive(self.now, former, Update(0, 1, [Entry("a", 1, 1, "", b"1")]), 50)
        self.assertEqual(self.subscriber.revision, 0)

    def test_a_silent_replica_is_left_for_the_next(self):
        self.connect()
        began = self.now
        self.until(CloseConnection)
        self.assertEqual((self.now - began, self.subscriber.replica), (SubscriberTiming().silence, "r2"))

    def test_a_replica_that_does_not_answer_the_dial_is_given_up(self):
        dial = self.until(OpenConnection)
        began = self.now
        self.assertEqual(self.until(CloseConnection).connection_id, dial.connection_id)
        self.assertEqual(self.now - began, SubscriberTiming().dial)

    def test_when_none_answers_the_pauses_grow_to_a_bound(self):
        dialled_at = []
        for _ in range(40):
            self.subscriber.connection_lost(self.now, self.until(OpenConnection).connection_id)
            dialled_at.append(self.now)
        rounds = [b - a for a, b in zip(dialled_at[::3], dialled_at[3::3], strict=False)]
        self.assertGreater(rounds[-1], rounds[0])
        pace = SubscriberTiming()
        self.assertLessEqual(max(rounds), pace.retry_most + 3 * pace.retry_first)

    def test_a_stale_replica_is_left_and_each_is_kept_a_while_once_all_are_stale(self):
        stale = SubscriberTiming().stale
        for name in ("r1", "r2", "r3"):
            self.connect()
            self.assertEqual(self.subscriber.replica, name)
            self.hear(Heartbeat(0, 0, stale + 1, self.now))
        self.connect()
        self.hear(Heartbeat(0, 0, stale + 1, self.now))
        self.assertTrue(self.subscriber.connected)
        self.now += stale
        self.hear(Heartbeat(0, 0, stale + 1, self.now))
        self.assertFalse(self.subscriber.connected)

    def test_it_goes_back_to_its_first_replica(self):
        self.subscriber.connection_lost(self.now, self.until(OpenConnection).connection_id)
        self.connect()
        self.assertEqual(self.subscriber.replica, "r2")
        began = self.now
        while self.subscriber.replica != "r1":
            self.now += S
            self.hear(Heartbeat(0, 0, 0, self.now))
            self.subscriber.advance(self.now)
        self.assertEqual(self.now - began, SubscriberTiming().return_home)

    def test_a_held_back_heartbeat_makes_nobody_fresh(self):
        self.connect()
        said_after = self.now
        self.now += 30 * S  # the way was shut meanwhile
        self.hear(Heartbeat(0, 0, 0, said_after))
        self.assertEqual(self.subscriber.age(self.now), 30 * S)

    def test_what_a_former_process_kept_is_held_with_its_age(self):
        entry = Entry("a", 3, 1, "", b"kept")
        again = Subscriber(
            "c", "s", ["r"], 100 * S, random.Random(1), entries=[entry], revision=3, known_at=40 * S
        )
        self.assertEqual((again.store.get("a"), again.revision, again.age(100 * S)), (entry, 3, 60 * S))

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(WRITES, st.lists(st.tuples(st.integers(0, 40), st.integers(0, 40)), max_size=30))
    def test_any_updates_lead_to_the_replicas_state_and_never_back(self, writes, spans):
        whole = store_of(entries_of(writes))
        subscriber = Subscriber("c", "s", ["r"], 0, random.Random(1))
        subscriber.advance(0)
        subscriber.connection_opened(0, subscriber.connection_id)
        last = whole.revision
        for since, upto in [*spans, (0, last)]:
            since, upto = min(since, last), min(upto, last)
            changes = [entry for entry in store_of(entries_of(writes[:upto])).since(since)]
            subscriber.receive(0, subscriber.connection_id, Update(since, upto, changes), 10)
        self.assertEqual((subscriber.revision, in_force(subscriber.store)), (last, in_force(whole)))
        newest = {}
        for entry in subscriber.applied:
            self.assertGreater(entry.revision, newest.get(entry.key, 0))
            newest[entry.key] = entry.revision

    def test_an_inventory_removes_what_was_removed_and_asks_for_what_is_missing(self):
        self.connect()
        self.hear(Update(0, 2, [Entry("a", 1, 1, "", b"1"), Entry("b", 2, 1, "", b"2")]))
        self.take()
        bucket = next(n for n, keys in enumerate(self.subscriber.store.bucket_keys) if "a" in keys)
        self.hear(Inventory(bucket, 2, []))
        self.assertIsNone(self.subscriber.store.get("a"))
        self.assertEqual(self.subscriber.applied[-1].value, None)


class Group:
    """Replicas whose messages arrive at once, unless they are cut off."""

    def __init__(self, count=3):
        self.names, self.now, self.cut = [f"r{n}" for n in range(count)], 100 * S, set()
        self.saved = dict.fromkeys(self.names)
        self.replicas = {name: self.make(name) for name in self.names}

    def make(self, name):
        chance = random.Random(f"{name} {self.now}")
        return Replica("c", name, self.names, self.now, chance, saved=self.saved[name])

    def run(self, span):
        end = self.now + span
        while self.now < end:
            self.now += 10 * MS
            for replica in list(self.replicas.values()):
                if self.now >= replica.next_at():
                    replica.advance(self.now)
            self.deliver()

    def deliver(self):
        moved = True
        while moved:
            moved = False
            for name, replica in list(self.replicas.items()):
                step = replica.poll()
                if step.state is not None:
                    self.saved[name] = step.state
                for addressed in step.messages:
                    if {name, addressed.to} & self.cut or addressed.to not in self.replicas:
                        continue
                    moved = True
                    message = decode_replica_message(encode(addressed.message))
                    self.replicas[addressed.to].receive(self.now, message)

    @property
    def leader(self):
        found = [one for one in self.replicas.values() if one.has_majority(self.now)]
        return found[0] if len(found) == 1 else None

    def put(self, key, value, request=""):
        revision = self.leader.put(self.now, key, value, request)
        self.deliver()
        return revision


class Replicas(unittest.TestCase):
    def setUp(self):
        self.group = Group()
        self.group.run(6 * S)

    def test_the_first_start_elects_one_leader(self):
        self.assertIsNotNone(self.group.leader)
        self.assertFalse(any(one.recovering for one in self.group.replicas.values()))
        self.assertEqual({one.leader for one in self.group.replicas.values()}, {self.group.leader.name})

    def test_one_alone_leads_itself(self):
        group = Group(1)
        group.run(5 * S)
        self.assertEqual(group.put("a", b"1"), 2)
        self.assertEqual(group.leader.store.get("a").value, b"1")

    def test_a_write_is_committed_everywhere(self):
        revision = self.group.put("a", b"1", "q1")
        self.group.run(S)
        for replica in self.group.replicas.values():
            self.assertEqual((replica.store.revision, replica.store.get("a").value), (revision, b"1"))

    def test_each_entry_goes_once_to_a_follower_that_is_slow_to_answer(self):
        leader = self.group.leader
        self.group.deliver()
        for n in range(20):
            leader.put(self.group.now, f"k{n}", b"1", "")
        sent = {name: [] for name in leader.others}
        messages = leader.poll().messages
        for addressed in messages:
            sent[addressed.to] += [entry.key for entry in addressed.message.entries]
        self.assertEqual(sent, {name: [f"k{n}" for n in range(20)] for name in leader.others})
        for addressed in messages[:6]:  # the rest is lost, and goes again with the next heartbeat
            self.group.replicas[addressed.to].receive(self.group.now, addressed.message)
        self.group.run(S)
        revisions = {one.store.revision for one in self.group.replicas.values()}
        self.assertEqual(revisions, {leader.last_revision})

    def test_a_repeated_request_has_one_effect(self):
        first = self.group.put("a", b"1", "q1")
        self.group.put("a", b"2", "q2")
        self.assertEqual(self.group.put("a", b"1", "q1"), first)
        former = self.group.leader
        self.group.cut = {former.name}
        self.group.run(10 * S)
        self.assertEqual(self.group.put("a", b"1", "q1"), first)  # the next leader knows it, too
        self.assertEqual(self.group.leader.store.get("a").value, b"2")

    def test_a_write_that_expects_another_revision_is_refused(self):
        revision = self.group.put("a", b"1")
        leader = self.group.leader
        with self.assertRaises(ConflictError):
            leader.put(self.group.now, "a", b"2", "", expected=revision - 1)
        with self.assertRaises(ConflictError):
            leader.put(self.group.now, "new", b"2", "", expected=1)
        leader.put(self.group.now, "a", b"2", "", expected=revision)
        leader.put(self.group.now, "new", b"2", "", expected=0)

    def test_without_a_majority_no_write_is_taken_and_the_age_grows(self):
        leader = self.group.leader
        self.group.put("a", b"1")
        self.group.cut = {leader.name}
        self.group.run(1_600 * MS)
        with self.assertRaises(NoMajorityError):
            leader.put(self.group.now, "a", b"2", "")
        self.group.run(5 * S)
        with self.assertRaises(NotLeaderError):
            leader.put(self.group.now, "a", b"2", "")
        self.assertEqual(leader.store.get("a").value, b"1")  # what is in force stays
        self.assertGreater(leader.age(self.group.now), 6 * S)
        self.assertLess(self.group.leader.age(self.group.now), S)

    def test_a_follower_that_is_cut_off_raises_no_terms(self):
        follower = next(one for one in self.group.replicas.values() if one is not self.group.leader)
        term = self.group.leader.term
        self.group.cut = {follower.name}
        self.group.run(30 * S)
        self.group.cut = set()
        self.group.run(5 * S)
        self.assertEqual({one.term for one in self.group.replicas.values()}, {term})

    def test_a_write_of_a_leader_that_is_cut_off_is_lost_when_it_returns(self):
        former = self.group.leader
        self.group.cut = {former.name}
        former.put(self.group.now, "a", b"lost", "q1")
        self.group.run(8 * S)
        self.group.put("a", b"kept", "q2")
        self.group.cut = set()
        self.group.run(3 * S)
        self.assertEqual({one.store.get("a").value for one in self.group.replicas.values()}, {b"kept"})
        self.assertIs(former.role, Role.FOLLOWER)

    def test_one_that_missed_much_is_brought_up_to_date(self):
        late = next(one for one in self.group.replicas.values() if one is not self.group.leader)
        self.group.cut = {late.name}
        for n in range(50):
            self.group.put(f"k{n % 7}", bytes([n]))
            self.group.run(20 * MS)
        self.group.put("k1", None)
        self.group.cut = set()
        self.group.run(3 * S)
        self.assertEqual(late.store.digests, self.group.leader.store.digests)
        self.assertEqual(late.store.revision, self.group.leader.store.revision)

    def test_one_that_missed_removals_that_are_forgotten_hands_no_removed_key_on(self):
        first, second = [one for one in self.group.replicas.values() if one is not self.group.leader]
        self.group.put("gone", b"1")
        self.group.run(S)
        self.group.cut = {second.name}
        self.group.put("gone", None)
        self.group.run(S)
        for n in range(MAX_TOMBSTONES + 1):
            self.group.put(f"k{n}", b"1")
            self.group.put(f"k{n}", None)
        self.assertGreater(self.group.leader.store.forgotten, second.store.revision)
        former = self.group.leader
        late = self.group.make(first.name)  # begins anew from nothing, so that the state comes by an Install
        late.store, late.uncommitted = VersionedStore(), []
        self.group.replicas[first.name] = late
        self.group.run(2 * S)
        self.group.cut = {former.name}
        self.group.run(15 * S)
        self.assertIs(self.group.leader, late)
        self.assertIsNone(second.store.get("gone"))
        self.assertEqual(second.store.digests, late.store.digests)

    def test_one_restarted_with_its_state_votes_at_once(self):
        self.group.put("a", b"1")
        for name in self.group.names:
            self.group.replicas[name] = self.group.make(name)
        self.group.run(5 * S)
        self.assertIsNotNone(self.group.leader)
        self.assertEqual(self.group.leader.store.get("a").value, b"1")

    def test_one_restarted_with_nothing_votes_for_nobody_until_a_majority_without_it_has_spoken(self):
        self.group.put("a", b"1")
        lost = next(one.name for one in self.group.replicas.values() if one is not self.group.leader)
        self.group.saved[lost] = None
        empty = self.group.replicas[lost] = self.group.make(lost)
        request = VoteRequest("c", "r9", 9, 9, 9, preliminary=False)
        empty.receive(self.group.now, VoteRequest("c", empty.others[0], 9, 9, 9, preliminary=False))
        empty.receive(self.group.now, request)
        self.assertFalse([one for one in empty.poll().messages if isinstance(one.message, Vote)])
        self.group.run(empty.timing.recovery_silence - S)
        self.assertTrue(empty.recovering)
        self.assertEqual(empty.store.get("a").value, b"1")  # it follows meanwhile
        self.group.run(3 * S)
        self.assertFalse(empty.recovering)

    def test_one_that_lost_its_newest_state_votes_for_nobody_with_an_older_one(self):
        lost = next(one.name for one in self.group.replicas.values() if one is not self.group.leader)
        older = self.group.saved[lost]
        self.group.put("a", b"1")
        self.group.run(S)
        chance = random.Random(5)
        again = Replica(
            "c", lost, self.group.names, self.group.now, chance, saved=older, saved_is_newest=False
        )
        self.group.replicas[lost] = again
        candidate = VoteRequest("c", again.others[0], 99, 99, 99, preliminary=False)
        again.receive(self.group.now, candidate)
        for other in again.others:  # blank ones don't make this a first start: it holds something
            again.receive(self.group.now, RecoverReply("c", other, 0, again.nonce, True))
        self.assertTrue(again.recovering)
        self.assertFalse([one for one in again.poll().messages if isinstance(one.message, Vote)])
        self.group.run(again.timing.recovery_silence + 3 * S)
        self.assertEqual((again.recovering, again.store.get("a").value), (False, b"1"))

    def test_with_one_dead_and_one_empty_nothing_is_written(self):
        self.group.put("a", b"1")
        leader = self.group.leader.name
        dead, lost = [name for name in self.group.names if name != leader]
        del self.group.replicas[dead]
        self.group.saved[lost] = None
        self.group.replicas[lost] = self.group.make(lost)
        self.group.run(30 * S)
        self.assertIsNone(self.group.leader)  # the empty one must not make a majority
        self.group.replicas[dead] = self.group.make(dead)
        self.group.run(20 * S)
        self.assertIsNotNone(self.group.leader)
        self.assertEqual(self.group.leader.store.get("a").value, b"1")

    def test_a_write_over_a_limit_is_refused(self):
        leader = self.group.leader
        self.group.cut = set(self.group.names)
        with self.assertRaises(OverloadedError):
            for n in range(1_000):
                leader.put(self.group.now, f"k{n}", b"1", "")

    def test_strangers_are_not_heard(self):
        leader = self.group.leader
        for cluster, sender in (("other", leader.others[0]), ("c", "r9"), ("c", leader.name)):
            leader.receive(self.group.now, VoteRequest(cluster, sender, 99, 99, 99, preliminary=False))
        self.assertNotEqual(leader.term, 99)


class Stated(unittest.TestCase):
    def test_the_bounds_of_the_target_are_under_twelve_seconds(self):
        bounds = Bounds()
        self.assertLess(bounds.good, 3 * S)
        self.assertLess(bounds.replicas_dead(1), 12 * S)
        self.assertLess(bounds.replicas_dead(2), 12 * S)


if __name__ == "__main__":
    unittest.main()
