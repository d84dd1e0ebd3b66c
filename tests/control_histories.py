"""Generated sequences of writes for the tests of replicated configuration."""

from hypothesis import strategies as st

from embertray.cluster.replication.entry import Entry
from embertray.cluster.replication.store import VersionedStore

S = 10**9
MS = 10**6

WRITES = st.lists(
    st.tuples(st.sampled_from(["a", "b", "c", "d"]), st.one_of(st.none(), st.binary(max_size=8))),
    min_size=1,
    max_size=40,
)


def entries_from_writes(writes):
    """Converts (key, value) writes to entries with ascending revisions."""
    return [
        Entry(key, revision, 1, f"q{revision}", value)
        for revision, (key, value) in enumerate(writes, start=1)
    ]


def store_from_entries(entries):
    store = VersionedStore()
    for entry in entries:
        store.apply(entry)
        store.advance(entry.revision, entry.term)
    return store


def current_entries(store):
    return {entry.key: entry for entry in store.live_entries()}
