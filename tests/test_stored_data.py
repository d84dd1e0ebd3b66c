"""Tests that data stored by former versions is read: every value, and the rejection of damaged files.

The files of data/old-text were written by an older version (README.txt there says which one and how).
Structures are compared as plain lists in the order of the file, so that only names in Python may change.
"""

import random
import shutil
import sqlite3
import tempfile
import unittest
from pathlib import Path

import msgspec

from embertray.cluster.replication.link.durable_state import replica_state_store, subscriber_state_store
from embertray.cluster.replication.replica import Replica
from embertray.cluster.replication.subscriber import Subscriber
from embertray.common.snapshots import DurableSnapshots
from embertray.experiments.lab import experiment
from embertray.experiments.lab.results import Results
from embertray.experiments.measure.recorded import digest, load

TESTS = Path(__file__).resolve().parent
OLD_FILES = TESTS / "data" / "old-text"
SECOND_NS = 10**9
SAVED_AT_NS = 1_700_000_000 * SECOND_NS  # the wall clock in all files


class StoredFile(unittest.TestCase):
    """A temporary folder with one file of the older version, at the path that its reader expects."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def place_snapshot(self, name, flipped_byte=None):
        """Copies a file of the older version as the newest snapshot, optionally with one byte flipped."""
        content = bytearray((OLD_FILES / name).read_bytes())
        if flipped_byte is not None:
            content[flipped_byte] ^= 0xFF
        (self.folder / "list-000000000001.snap").write_bytes(content)

    def assert_each_flipped_byte_is_refused(self, name, make_reader):
        """A file with any single byte flipped is skipped with the reason that names the damage."""
        header = {
            **dict.fromkeys(range(0, 8), "not a snapshot file: wrong magic number"),
            **dict.fromkeys(range(8, 10), "unsupported format "),
            **dict.fromkeys(range(10, 18), " bytes"),
        }
        for position in range((OLD_FILES / name).stat().st_size):
            self.place_snapshot(name, flipped_byte=position)
            with self.subTest(position=position):
                found, passed_over = make_reader().load()
                self.assertIsNone(found)
                ((file_name, reason),) = passed_over
                self.assertEqual(file_name, "list-000000000001.snap")
                self.assertIn(header.get(position, "checksum mismatch"), reason)


class EndpointListSnapshot(StoredFile):
    NAME = "endpoint-list.snap"

    def reader(self):
        return DurableSnapshots(self.folder)

    def test_every_value_is_read(self):
        self.place_snapshot(self.NAME)
        found, passed_over = self.reader().load()
        self.assertEqual(passed_over, [])
        epoch, inventory_clock, boot_clock = 7, 41 * SECOND_NS, 12_345 * SECOND_NS
        listed = [
            ["b1", "north", "ready", 3 * SECOND_NS, SAVED_AT_NS - 2 * SECOND_NS, 1.0],
            ["b2", "south", "draining", 4 * SECOND_NS + 7, SAVED_AT_NS - 5 * SECOND_NS, 0.5],
            ["b-ümlaut", "north", "ready", 0, SAVED_AT_NS, 2.25],
        ]
        gone = [["b0", "north", "ready", SECOND_NS, SAVED_AT_NS - 30 * SECOND_NS, 1.0]]
        self.assertEqual(
            msgspec.to_builtins(found),
            [epoch, inventory_clock, SAVED_AT_NS, "4ea1c0de-boot", boot_clock, listed, gone],
        )

    def test_a_file_with_one_flipped_byte_is_refused(self):
        self.assert_each_flipped_byte_is_refused(self.NAME, self.reader)


class ReplicaSavedState(StoredFile):
    NAME = "replica.snap"
    VERSIONS = [
        ["limits/search", 2, 1, "q1", b"100"],
        ["limits/search", 3, 1, "q2", b"120"],
        ["site", 4, 1, "q3", b"\x00\xffraw"],
        ["gone", 5, 1, "q4", b"x"],
        ["gone", 6, 1, "q5", None],
    ]
    REQUESTS = [["q1", 2], ["q2", 3], ["q3", 4], ["q4", 5], ["q5", 6]]
    PROPOSED = [["site", 7, 1, "q6", b"proposed"]]

    def reader(self):
        return replica_state_store(self.folder)

    def read(self):
        self.place_snapshot(self.NAME)
        found, passed_over = self.reader().load()
        self.assertEqual(passed_over, [])
        return found

    def test_every_value_is_read(self):
        term, voted_for, revision, committed_term, forgotten = 1, "r1", 6, 1, 0
        self.assertEqual(
            as_lists(self.read()),
            [term, voted_for, revision, committed_term, forgotten]
            + [self.VERSIONS, self.REQUESTS, self.PROPOSED],
        )

    def test_a_replica_goes_on_from_it(self):
        replica = Replica("c1", "r1", ["r1", "r2", "r3"], 0, random.Random(1), saved=self.read())
        self.assertFalse(replica.recovering)
        self.assertEqual(tuple(replica.last_position), (1, 7))
        self.assertEqual(replica.store.revision, 6)
        self.assertEqual([entry.key for entry in replica.store.live_entries()], ["limits/search", "site"])
        self.assertEqual(replica.store.entry_at("limits/search", 2).value, b"100")
        self.assertEqual(dict(replica.store.requests), dict(self.REQUESTS))

    def test_a_file_with_one_flipped_byte_is_refused(self):
        self.assert_each_flipped_byte_is_refused(self.NAME, self.reader)


class SubscriberSavedState(StoredFile):
    NAME = "subscriber.snap"
    ENTRIES = [
        ["limits/search", 3, 1, "q2", b"120"],
        ["site", 4, 1, "q3", b"\x00\xffraw"],
        ["gone", 6, 1, "q5", None],
    ]

    def reader(self):
        return subscriber_state_store(self.folder)

    def read(self):
        self.place_snapshot(self.NAME)
        found, passed_over = self.reader().load()
        self.assertEqual(passed_over, [])
        return found

    def test_every_value_is_read(self):
        revision, known_at = 6, SAVED_AT_NS - 3 * SECOND_NS
        self.assertEqual(as_lists(self.read()), ["c1", revision, SAVED_AT_NS, known_at, self.ENTRIES])

    def test_a_subscriber_goes_on_from_it(self):
        state = self.read()
        subscriber = Subscriber(
            "c1", "s1", ["r1"], 0, random.Random(1), entries=state.entries, revision=state.revision
        )
        self.assertEqual(subscriber.revision, 6)
        self.assertEqual([entry.key for entry in subscriber.store.live_entries()], ["limits/search", "site"])

    def test_a_file_with_one_flipped_byte_is_refused(self):
        self.assert_each_flipped_byte_is_refused(self.NAME, self.reader)


class RecordedStream(unittest.TestCase):
    """The older version also recorded the streams of tests/streams; test_recorded.py replays them all."""

    PATH = TESTS / "streams" / "kill.zst"

    def test_events_are_read_and_give_the_orders_of_the_older_text(self):
        streams = load(self.PATH)["streams"]
        self.assertEqual([len(stream["rows"]) for stream in streams], [515, 280, 101, 90])
        self.assertEqual(streams[3]["digest"][:16], "e95c74e7119b1328")
        self.assertEqual(digest(streams[3]["rows"]), streams[3]["digest"])


class LabResultsFile(StoredFile):
    PATH = OLD_FILES / "lab-results.db"
    ALL_MET = {"post": 1.0, "view": 1.0}

    def open_copy(self, content=None):
        """Opens a copy, because sqlite may write to the file."""
        path = self.folder / self.PATH.name
        if content is None:
            shutil.copy(self.PATH, path)
        else:
            path.write_bytes(content)
        results = Results(path)
        self.addCleanup(results.db.close)
        return results

    def test_the_experiment_is_read(self):
        text, commit, began = self.open_copy().experiment_header()
        self.assertEqual((commit, began), ("5b12911", "2026-12-03T05:00:00+00:00"))
        runs = [run.key for run in experiment.read(text).runs()]
        self.assertEqual(runs, ["n=3;module;1", "n=3;even;1", "n=10;module;1", "n=10;even;1"])

    def test_every_row_is_read(self):
        rows = list(self.open_copy().rows())
        latencies = [row.pop("took") for row in rows]
        self.assertEqual([latency and latency[:5] for latency in latencies], [None, "HISTF", "HISTF"])
        percentiles = dict.fromkeys(("p50", "p99", "worst"))
        died = {"key": "n=10;module;1", "levels": {"n": "10"}, "arm": "module", "seed": 1, "wall": 0.25}
        died |= {"error": "died with -9: no word", "kept": None, "broken": {}, "credit": None}
        died |= {"by_kind": {}, "reqs": None, "line": [], **percentiles}
        played = {"levels": {"n": "3"}, "seed": 1, "wall": 1.5, "error": None, "kept": 1, "broken": {}}
        played |= {"credit": 1.0, "by_kind": self.ALL_MET, "reqs": 51, "line": [1.0] * 3, **percentiles}
        self.assertEqual(
            rows,
            [
                died,
                {"key": "n=3;even;1", "arm": "even", **played},
                {"key": "n=3;module;1", "arm": "module", **played},
            ],
        )

    def test_the_runs_of_it_count_as_done(self):
        self.assertEqual(self.open_copy().finished_keys(), {"n=3;module;1", "n=3;even;1", "n=10;module;1"})

    def test_a_flipped_byte_in_its_first_bytes_is_refused(self):
        """sqlite has no checksum: it only rejects a file with a wrong header."""
        content = bytearray(self.PATH.read_bytes())
        content[3] ^= 0xFF
        with self.assertRaises(sqlite3.DatabaseError):
            self.open_copy(bytes(content))


def as_lists(state):
    """A state as stored in its file: arrays as lists, values as bytes."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(state))


if __name__ == "__main__":
    unittest.main()
