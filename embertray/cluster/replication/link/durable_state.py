"""Saved states of replicas and subscribers, stored as snapshots (embertray/common/snapshots)."""

import msgspec

from embertray.cluster.replication.entry import Entry
from embertray.cluster.replication.exceptions import MalformedStateError
from embertray.cluster.replication.replica_state import ReplicaState
from embertray.common.snapshots import SnapshotStore


class SubscriberState(msgspec.Struct, array_like=True):
    """A subscriber's saved state. The order of the fields is the format on disk.

    Attributes:
        cluster: name of the subscriber's cluster.
        revision: everything up to it is included.
        saved_at: time of the save, ns of the wall clock.
        known_at: ns of the wall clock at which this was certainly the newest state; None if not known.
        entries: the newest entry of each key.
    """

    cluster: str
    revision: int
    saved_at: int
    known_at: int | None
    entries: list[Entry]


class StateStore:
    """A folder that holds the newest saved states of one type.

    Args:
        folder: path; only one process at a time may use it.
        kind: type of the states.
        disk: as in embertray/common/snapshots; None for the real one.
    """

    def __init__(self, folder, kind, disk=None):
        self.store = SnapshotStore(folder, disk)
        self._decoder = msgspec.msgpack.Decoder(kind)

    def open(self):
        """Locks the folder for this process. Raises FolderLockedError, OSError."""
        self.store.lock()

    def close(self):
        """Unlocks the folder."""
        self.store.unlock()

    def load(self):
        """Loads the newest readable state.

        Returns:
            (the state or None, [(file name, reason)] of newer files that cannot be read).
        """
        return self.store.load(self._decode)

    def save(self, state):
        """Saves a state durably. Blocks until it is on disk. Raises OSError."""
        self.store.save(msgspec.msgpack.encode(state))

    def _decode(self, body):
        try:
            return self._decoder.decode(body)
        except msgspec.DecodeError as error:
            raise MalformedStateError(f"content cannot be decoded: {error}") from None


def replica_state_store(folder, disk=None):
    """The StateStore of a replica's ReplicaState."""
    return StateStore(folder, ReplicaState, disk)


def subscriber_state_store(folder, disk=None):
    """The StateStore of a subscriber's SubscriberState."""
    return StateStore(folder, SubscriberState, disk)


def open_and_load(state_store, log):
    """Opens a StateStore and loads its state; unreadable files are logged.

    Args:
        state_store: a StateStore, or None if no state is kept.
        log: a structlog logger.

    Returns:
        (the state or None, whether it is the newest state that was saved).

    Raises:
        FolderLockedError: another process uses the folder.
        OSError: the folder cannot be used.
    """
    if state_store is None:
        return None, True
    state_store.open()
    state, unreadable = state_store.load()
    for file_name, reason in unreadable:
        log.error("saved state unreadable, trying an older one", file=file_name, reason=reason)
    return state, not unreadable
