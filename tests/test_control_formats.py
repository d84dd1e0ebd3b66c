"""Replicated configuration: wire and disk formats and API names, which must not change."""

import unittest

import msgspec

from embertray.cluster.replication import exceptions, messages
from embertray.cluster.replication.codec import encode
from embertray.cluster.replication.entry import Entry
from embertray.cluster.replication.link.durable_state import SubscriberState
from embertray.cluster.replication.link.status import SubscriberStatus
from embertray.cluster.replication.replica_state import ReplicaState

ENTRY = Entry("k", 2, 1, "q", b"v")
WIRE = (
    (messages.VoteRequest("c", "r", 1, 2, 3, True), "97ac766f74652d72657175657374a163a172010203c3"),
    (messages.Vote("c", "r", 1, 2, True, False), "97a4766f7465a163a1720102c3c2"),
    (
        messages.Append("c", "r", 1, 2, 3, 4, [ENTRY], 5, 6, 7, 8),
        "9ca6617070656e64a163a172010203049195a16b0201a171c4017605060708",
    ),
    (
        messages.Install("c", "r", 1, 2, 3, 4, 5, [ENTRY], ["k"], [("q", 2)]),
        "9ba7696e7374616c6ca163a17201020304059195a16b0201a171c4017691a16b9192a17102",
    ),
    (
        messages.Appended("c", "r", 1, 2, True, 3, 4, 5, 6, 7),
        "9ba8617070656e646564a163a1720102c30304050607",
    ),
    (messages.RecoverRequest("c", "r", 1, 2), "95af7265636f7665722d72657175657374a163a1720102"),
    (messages.RecoverReply("c", "r", 1, 2, True), "96ad7265636f7665722d7265706c79a163a1720102c3"),
    (messages.Subscribe("c", 1, "s", 2, 3, 4), "97a9737562736372696265a16301a173020304"),
    (messages.Confirm(1, 2), "93a7636f6e6669726d0102"),
    (messages.Repair([1]), "92a67265706169729101"),
    (messages.Heartbeat(1, 2, 3, 4), "95a968656172746265617401020304"),
    (messages.Update(1, 2, [ENTRY]), "94a675706461746501029195a16b0201a171c40176"),
    (
        messages.Inventory(1, 2, [messages.InventoryItem("k", 1, 2)]),
        "94a9696e76656e746f727901029193a16b0102",
    ),
)
REASONS = {
    exceptions.NotLeaderError: "NotLeader",
    exceptions.NoMajorityError: "NoMajority",
    exceptions.ConflictError: "Conflict",
    exceptions.OverloadedError: "Overloaded",
    exceptions.BadKeyError: "BadKey",
    exceptions.BadRequestError: "BadRequest",
    exceptions.TooLargeError: "TooLarge",
    exceptions.VersionNotKeptError: "VersionNotKept",
}


class Formats(unittest.TestCase):
    def test_messages_keep_their_tags_and_the_order_of_their_fields(self):
        for message, expected in WIRE:
            with self.subTest(type(message).__name__):
                self.assertEqual(encode(message).hex(), expected)

    def test_a_replica_reads_the_state_saved_by_earlier_versions(self):
        saved = bytes.fromhex("9807a272322906039195a16b0201a171c401769192a171029195a16b0201a171c40176")
        state = ReplicaState(7, "r2", 41, 6, 3, [ENTRY], [("q", 2)], [ENTRY])
        self.assertEqual(msgspec.msgpack.decode(saved, type=ReplicaState), state)
        self.assertEqual(msgspec.msgpack.encode(state), saved)

    def test_a_subscriber_reads_the_state_saved_by_earlier_versions(self):
        saved = bytes.fromhex("95a16305cc82c09195a16b0201a171c40176")
        state = SubscriberState("c", 5, 130, None, [ENTRY])
        self.assertEqual(msgspec.msgpack.decode(saved, type=SubscriberState), state)
        self.assertEqual(msgspec.msgpack.encode(state), saved)

    def test_rejections_keep_the_reasons_that_clients_read(self):
        self.assertEqual({kind: kind.reason for kind in REASONS}, REASONS)
        self.assertEqual(set(exceptions.WriteRejectedError.__subclasses__()), set(REASONS))

    def test_the_status_of_a_subscriber_keeps_its_keys(self):
        fields = [field.encode_name for field in msgspec.structs.fields(SubscriberStatus)]
        expected = (
            "cluster name replica connected revision digest age_s keys saves save_fails counted traffic"
        )
        self.assertEqual(fields, expected.split())


if __name__ == "__main__":
    unittest.main()
