"""What replicas and subscribers keep on disk, by durable/store.py."""

import msgspec

from embertray.cluster.replication.entry import Entry
from embertray.cluster.replication.replica_types import ReplicaState
from embertray.common.snapshots import Store


class BadBody(ValueError):
    """A snapshot's content is none of ours."""


class SubscriberState(msgspec.Struct, array_like=True):
    """What a subscriber held. Wall-clock times in ns: when it was saved, and since when that was certainly
    the newest (None if it was not known)."""

    cluster: str
    revision: int
    saved_at: int
    known_at: int | None
    entries: list[Entry]


class StateStore:
    """A folder with the newest state of type `kind`; `disk` as in durable/store.py. `save` blocks."""

    def __init__(self, folder, kind, disk=None):
        self.store = Store(folder, disk)
        self._decoder = msgspec.msgpack.Decoder(kind)

    def open(self):
        """Takes the folder for this process. Raises Locked, OSError."""
        self.store.lock()

    def close(self):
        """Gives the folder back."""
        self.store.unlock()

    def load(self):
        """(the newest state that can be read or None, [(file name, why it was passed over)])."""
        return self.store.load(self._read)

    def save(self, state):
        """Writes a state; it is durable on return. Raises OSError."""
        self.store.save(msgspec.msgpack.encode(state))

    def _read(self, body):
        try:
            return self._decoder.decode(body)
        except msgspec.DecodeError as wrong:
            raise BadBody(f"its content can't be read: {wrong}") from None


def replica_state_store(folder, disk=None):
    """Where a replica keeps its ReplicaState."""
    return StateStore(folder, ReplicaState, disk)


def subscriber_state_store(folder, disk=None):
    """Where a subscriber keeps its SubscriberState."""
    return StateStore(folder, SubscriberState, disk)
