"""Replicated configuration: elections, replication and recovery, without I/O."""

import random
import unittest

from control_histories import MS, S

from embertray.cluster.replication.codec import decode_replica_message, encode
from embertray.cluster.replication.exceptions import (
    ConflictError,
    NoMajorityError,
    NotLeaderError,
    OverloadedError,
)
from embertray.cluster.replication.messages import RecoverReply, Vote, VoteRequest
from embertray.cluster.replication.propagation_bounds import Bounds
from embertray.cluster.replication.replica import Replica
from embertray.cluster.replication.replica_state import Role
from embertray.cluster.replication.store import MAX_TOMBSTONES, VersionedStore


class Group:
    """Replicas whose messages arrive at once, unless they are cut off."""

    def __init__(self, count=3):
        self.names, self.now, self.cut = [f"r{n}" for n in range(count)], 100 * S, set()
        self.saved = dict.fromkeys(self.names)
        self.replicas = {name: self.make(name) for name in self.names}

    def make(self, name):
        rng = random.Random(f"{name} {self.now}")
        return Replica("c", name, self.names, self.now, rng, saved=self.saved[name])

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
                    if {name, addressed.recipient} & self.cut or addressed.recipient not in self.replicas:
                        continue
                    moved = True
                    message = decode_replica_message(encode(addressed.message))
                    self.replicas[addressed.recipient].receive(self.now, message)

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
            sent[addressed.recipient] += [entry.key for entry in addressed.message.entries]
        self.assertEqual(sent, {name: [f"k{n}" for n in range(20)] for name in leader.others})
        for addressed in messages[:6]:  # the rest is lost, and goes again with the next heartbeat
            self.group.replicas[addressed.recipient].receive(self.group.now, addressed.message)
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

    def test_a_replica_that_missed_forgotten_removals_serves_no_removed_key_as_leader(self):
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

    def test_a_replica_without_its_state_does_not_vote_until_a_majority_without_it_has_answered(self):
        self.group.put("a", b"1")
        lost = next(one.name for one in self.group.replicas.values() if one is not self.group.leader)
        self.group.saved[lost] = None
        empty = self.group.replicas[lost] = self.group.make(lost)
        request = VoteRequest("c", "r9", 9, 9, 9, preliminary=False)
        empty.receive(self.group.now, VoteRequest("c", empty.others[0], 9, 9, 9, preliminary=False))
        empty.receive(self.group.now, request)
        self.assertFalse([one for one in empty.poll().messages if isinstance(one.message, Vote)])
        self.group.run(empty.timing.recovery_wait - S)
        self.assertTrue(empty.recovering)
        self.assertEqual(empty.store.get("a").value, b"1")  # it follows meanwhile
        self.group.run(3 * S)
        self.assertFalse(empty.recovering)

    def test_one_that_lost_its_newest_state_votes_for_nobody_with_an_older_one(self):
        lost = next(one.name for one in self.group.replicas.values() if one is not self.group.leader)
        older = self.group.saved[lost]
        self.group.put("a", b"1")
        self.group.run(S)
        rng = random.Random(5)
        again = Replica("c", lost, self.group.names, self.group.now, rng, saved=older, saved_is_newest=False)
        self.group.replicas[lost] = again
        candidate = VoteRequest("c", again.others[0], 99, 99, 99, preliminary=False)
        again.receive(self.group.now, candidate)
        for other in again.others:  # blank ones don't make this a first start: it holds something
            again.receive(self.group.now, RecoverReply("c", other, 0, again.nonce, True))
        self.assertTrue(again.recovering)
        self.assertFalse([one for one in again.poll().messages if isinstance(one.message, Vote)])
        self.group.run(again.timing.recovery_wait + 3 * S)
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

    def test_messages_of_another_cluster_or_unknown_replicas_are_ignored(self):
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
