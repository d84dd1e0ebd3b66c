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


class SimulatedCluster:
    """Replicas whose messages are delivered immediately, except from and to isolated replicas."""

    def __init__(self, count=3):
        self.names, self.now, self.isolated = [f"r{n}" for n in range(count)], 100 * S, set()
        self.saved = dict.fromkeys(self.names)
        self.replicas = {name: self.create_replica(name) for name in self.names}

    def create_replica(self, name):
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
        delivered = True
        while delivered:
            delivered = False
            for name, replica in list(self.replicas.items()):
                instructions = replica.poll()
                if instructions.state is not None:
                    self.saved[name] = instructions.state
                for envelope in instructions.messages:
                    if {name, envelope.recipient} & self.isolated or envelope.recipient not in self.replicas:
                        continue
                    delivered = True
                    message = decode_replica_message(encode(envelope.message))
                    self.replicas[envelope.recipient].receive(self.now, message)

    @property
    def leader(self):
        found = [replica for replica in self.replicas.values() if replica.has_majority(self.now)]
        return found[0] if len(found) == 1 else None

    def put(self, key, value, request=""):
        revision = self.leader.put(self.now, key, value, request)
        self.deliver()
        return revision


class ReplicaTests(unittest.TestCase):
    def setUp(self):
        self.cluster = SimulatedCluster()
        self.cluster.run(6 * S)

    def test_the_first_start_elects_one_leader(self):
        self.assertIsNotNone(self.cluster.leader)
        self.assertFalse(any(replica.recovering for replica in self.cluster.replicas.values()))
        self.assertEqual(
            {replica.leader for replica in self.cluster.replicas.values()}, {self.cluster.leader.name}
        )

    def test_a_single_replica_elects_itself(self):
        cluster = SimulatedCluster(1)
        cluster.run(5 * S)
        self.assertEqual(cluster.put("a", b"1"), 2)
        self.assertEqual(cluster.leader.store.get("a").value, b"1")

    def test_a_write_is_committed_everywhere(self):
        revision = self.cluster.put("a", b"1", "q1")
        self.cluster.run(S)
        for replica in self.cluster.replicas.values():
            self.assertEqual((replica.store.revision, replica.store.get("a").value), (revision, b"1"))

    def test_each_entry_is_sent_once_to_a_slow_follower(self):
        leader = self.cluster.leader
        self.cluster.deliver()
        for n in range(20):
            leader.put(self.cluster.now, f"k{n}", b"1", "")
        sent = {name: [] for name in leader.others}
        messages = leader.poll().messages
        for envelope in messages:
            sent[envelope.recipient] += [entry.key for entry in envelope.message.entries]
        self.assertEqual(sent, {name: [f"k{n}" for n in range(20)] for name in leader.others})
        for envelope in messages[:6]:  # the rest is lost, and sent again with the next heartbeat
            self.cluster.replicas[envelope.recipient].receive(self.cluster.now, envelope.message)
        self.cluster.run(S)
        revisions = {replica.store.revision for replica in self.cluster.replicas.values()}
        self.assertEqual(revisions, {leader.last_revision})

    def test_a_repeated_request_has_one_effect(self):
        first = self.cluster.put("a", b"1", "q1")
        self.cluster.put("a", b"2", "q2")
        self.assertEqual(self.cluster.put("a", b"1", "q1"), first)
        previous_leader = self.cluster.leader
        self.cluster.isolated = {previous_leader.name}
        self.cluster.run(10 * S)
        # the next leader knows the request id, too
        self.assertEqual(self.cluster.put("a", b"1", "q1"), first)
        self.assertEqual(self.cluster.leader.store.get("a").value, b"2")

    def test_a_write_that_expects_another_revision_is_rejected(self):
        revision = self.cluster.put("a", b"1")
        leader = self.cluster.leader
        with self.assertRaises(ConflictError):
            leader.put(self.cluster.now, "a", b"2", "", expected=revision - 1)
        with self.assertRaises(ConflictError):
            leader.put(self.cluster.now, "new", b"2", "", expected=1)
        leader.put(self.cluster.now, "a", b"2", "", expected=revision)
        leader.put(self.cluster.now, "new", b"2", "", expected=0)

    def test_without_a_majority_writes_are_rejected_and_the_age_grows(self):
        leader = self.cluster.leader
        self.cluster.put("a", b"1")
        self.cluster.isolated = {leader.name}
        self.cluster.run(1_600 * MS)
        with self.assertRaises(NoMajorityError):
            leader.put(self.cluster.now, "a", b"2", "")
        self.cluster.run(5 * S)
        with self.assertRaises(NotLeaderError):
            leader.put(self.cluster.now, "a", b"2", "")
        self.assertEqual(leader.store.get("a").value, b"1")  # the committed value stays
        self.assertGreater(leader.age(self.cluster.now), 6 * S)
        self.assertLess(self.cluster.leader.age(self.cluster.now), S)

    def test_an_isolated_follower_does_not_raise_the_term(self):
        follower = next(
            replica for replica in self.cluster.replicas.values() if replica is not self.cluster.leader
        )
        term = self.cluster.leader.term
        self.cluster.isolated = {follower.name}
        self.cluster.run(30 * S)
        self.cluster.isolated = set()
        self.cluster.run(5 * S)
        self.assertEqual({replica.term for replica in self.cluster.replicas.values()}, {term})

    def test_an_uncommitted_write_of_an_isolated_leader_is_discarded(self):
        previous_leader = self.cluster.leader
        self.cluster.isolated = {previous_leader.name}
        previous_leader.put(self.cluster.now, "a", b"lost", "q1")
        self.cluster.run(8 * S)
        self.cluster.put("a", b"kept", "q2")
        self.cluster.isolated = set()
        self.cluster.run(3 * S)
        self.assertEqual(
            {replica.store.get("a").value for replica in self.cluster.replicas.values()}, {b"kept"}
        )
        self.assertIs(previous_leader.role, Role.FOLLOWER)

    def test_a_lagging_follower_is_brought_up_to_date(self):
        lagging = next(
            replica for replica in self.cluster.replicas.values() if replica is not self.cluster.leader
        )
        self.cluster.isolated = {lagging.name}
        for n in range(50):
            self.cluster.put(f"k{n % 7}", bytes([n]))
            self.cluster.run(20 * MS)
        self.cluster.put("k1", None)
        self.cluster.isolated = set()
        self.cluster.run(3 * S)
        self.assertEqual(lagging.store.digests, self.cluster.leader.store.digests)
        self.assertEqual(lagging.store.revision, self.cluster.leader.store.revision)

    def test_a_replica_that_missed_dropped_tombstones_serves_no_removed_key_as_leader(self):
        first, second = [
            replica for replica in self.cluster.replicas.values() if replica is not self.cluster.leader
        ]
        self.cluster.put("gone", b"1")
        self.cluster.run(S)
        self.cluster.isolated = {second.name}
        self.cluster.put("gone", None)
        self.cluster.run(S)
        for n in range(MAX_TOMBSTONES + 1):
            self.cluster.put(f"k{n}", b"1")
            self.cluster.put(f"k{n}", None)
        self.assertGreater(self.cluster.leader.store.forgotten, second.store.revision)
        previous_leader = self.cluster.leader
        # starts empty, so that it receives the state as an Install
        lagging = self.cluster.create_replica(first.name)
        lagging.store, lagging.uncommitted = VersionedStore(), []
        self.cluster.replicas[first.name] = lagging
        self.cluster.run(2 * S)
        self.cluster.isolated = {previous_leader.name}
        self.cluster.run(15 * S)
        self.assertIs(self.cluster.leader, lagging)
        self.assertIsNone(second.store.get("gone"))
        self.assertEqual(second.store.digests, lagging.store.digests)

    def test_a_replica_restarted_with_its_state_votes_at_once(self):
        self.cluster.put("a", b"1")
        for name in self.cluster.names:
            self.cluster.replicas[name] = self.cluster.create_replica(name)
        self.cluster.run(5 * S)
        self.assertIsNotNone(self.cluster.leader)
        self.assertEqual(self.cluster.leader.store.get("a").value, b"1")

    def test_a_replica_without_its_state_does_not_vote_until_a_majority_without_it_has_answered(self):
        self.cluster.put("a", b"1")
        lost = next(
            replica.name for replica in self.cluster.replicas.values() if replica is not self.cluster.leader
        )
        self.cluster.saved[lost] = None
        stateless = self.cluster.replicas[lost] = self.cluster.create_replica(lost)
        request = VoteRequest("c", "r9", 9, 9, 9, preliminary=False)
        stateless.receive(self.cluster.now, VoteRequest("c", stateless.others[0], 9, 9, 9, preliminary=False))
        stateless.receive(self.cluster.now, request)
        self.assertFalse(
            [envelope for envelope in stateless.poll().messages if isinstance(envelope.message, Vote)]
        )
        self.cluster.run(stateless.timing.recovery_wait - S)
        self.assertTrue(stateless.recovering)
        self.assertEqual(stateless.store.get("a").value, b"1")  # it follows the leader meanwhile
        self.cluster.run(3 * S)
        self.assertFalse(stateless.recovering)

    def test_a_replica_with_an_outdated_state_does_not_vote(self):
        lost = next(
            replica.name for replica in self.cluster.replicas.values() if replica is not self.cluster.leader
        )
        older = self.cluster.saved[lost]
        self.cluster.put("a", b"1")
        self.cluster.run(S)
        rng = random.Random(5)
        restarted = Replica(
            "c", lost, self.cluster.names, self.cluster.now, rng, saved=older, saved_is_newest=False
        )
        self.cluster.replicas[lost] = restarted
        candidate = VoteRequest("c", restarted.others[0], 99, 99, 99, preliminary=False)
        restarted.receive(self.cluster.now, candidate)
        for other in restarted.others:  # blank replies are no first start: this replica has state
            restarted.receive(self.cluster.now, RecoverReply("c", other, 0, restarted.nonce, True))
        self.assertTrue(restarted.recovering)
        self.assertFalse(
            [envelope for envelope in restarted.poll().messages if isinstance(envelope.message, Vote)]
        )
        self.cluster.run(restarted.timing.recovery_wait + 3 * S)
        self.assertEqual((restarted.recovering, restarted.store.get("a").value), (False, b"1"))

    def test_one_dead_replica_and_one_without_state_leave_no_majority(self):
        self.cluster.put("a", b"1")
        leader = self.cluster.leader.name
        dead, lost = [name for name in self.cluster.names if name != leader]
        del self.cluster.replicas[dead]
        self.cluster.saved[lost] = None
        self.cluster.replicas[lost] = self.cluster.create_replica(lost)
        self.cluster.run(30 * S)
        self.assertIsNone(self.cluster.leader)  # the replica without state must not complete a majority
        self.cluster.replicas[dead] = self.cluster.create_replica(dead)
        self.cluster.run(20 * S)
        self.assertIsNotNone(self.cluster.leader)
        self.assertEqual(self.cluster.leader.store.get("a").value, b"1")

    def test_a_write_over_a_limit_is_rejected(self):
        leader = self.cluster.leader
        self.cluster.isolated = set(self.cluster.names)
        with self.assertRaises(OverloadedError):
            for n in range(1_000):
                leader.put(self.cluster.now, f"k{n}", b"1", "")

    def test_messages_of_another_cluster_or_unknown_replicas_are_ignored(self):
        leader = self.cluster.leader
        for cluster, sender in (("other", leader.others[0]), ("c", "r9"), ("c", leader.name)):
            leader.receive(self.cluster.now, VoteRequest(cluster, sender, 99, 99, 99, preliminary=False))
        self.assertNotEqual(leader.term, 99)


class BoundsTests(unittest.TestCase):
    def test_the_bounds_of_the_target_are_under_twelve_seconds(self):
        bounds = Bounds()
        self.assertLess(bounds.good, 3 * S)
        self.assertLess(bounds.replicas_dead(1), 12 * S)
        self.assertLess(bounds.replicas_dead(2), 12 * S)


if __name__ == "__main__":
    unittest.main()
