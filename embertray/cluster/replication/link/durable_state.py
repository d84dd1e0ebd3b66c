"""What replicas and subscribers keep on disk, as snapshots of embertray/common/snapshots."""

import msgspec

from embertray.cluster.replication.entry import Entry
from embertray.cluster.replication.exceptions import MalformedStateError
from embertray.cluster.replication.replica_state import ReplicaState
from embertray.common.snapshots import SnapshotStore


class SubscriberState(msgspec.Struct, array_like=True):
    """What a subscriber held, in the order of its fields on disk.

    Attributes:
        cluster: that it belongs to.
        revision: everything up to it is included.
        saved_at: wall-clock ns.
        known_at: wall-clock ns; since then this was certainly the newest. None if that was not known.
        entries: the newest entry of each key.
    """

    cluster: str
    revision: int
    saved_at: int
    known_at: int | None
    entries: list[Entry]


class StateStore:
    """A folder with the newest states of one type.

    Args:
        folder: path; one process at a time uses it.
        kind: type of the states.
        disk: as in embertray/common/snapshots; None for the real one.
    """

    def __init__(self, folder, kind, disk=None):
        self.store = SnapshotStore(folder, disk)
        self._decoder = msgspec.msgpack.Decoder(kind)

    def open(self):
        """Takes the folder for this process. Raises FolderLockedError, OSError."""
        self.store.lock()

    def close(self):
        """Releases the folder."""
        self.store.unlock()

    def load(self):
        """Reads the newest state that can be read.

        Returns:
            (the state or None, [(file name, reason)] of newer files that can't be read).
        """
        return self.store.load(self._decode)

    def save(self, state):
        """Writes a state; it is durable on return. Blocks. Raises OSError."""
        self.store.save(msgspec.msgpack.encode(state))

    def _decode(self, body):
        try:
            return self._decoder.decode(body)
        except msgspec.DecodeError as error:
            raise MalformedStateError(f"its content can't be read: {error}") from None


def replica_state_store(folder, disk=None):
    """The StateStore of a replica's ReplicaState."""
    return StateStore(folder, ReplicaState, disk)


def subscriber_state_store(folder, disk=None):
    """The StateStore of a subscriber's SubscriberState."""
    return StateStore(folder, SubscriberState, disk)


def open_and_load(state_store, log):
    """Opens a StateStore and reads it; files that can't be read are logged.

    Args:
        state_store: a StateStore, or None if nothing is kept.
        log: a structlog logger.

    Returns:
        (the state or None, whether it is the newest that was ever saved).

    Raises:
        FolderLockedError: another process uses the folder.
        OSError: the folder can't be used.
    """
    if state_store is None:
        return None, True
    state_store.open()
    state, unreadable = state_store.load()
    for file_name, reason in unreadable:
        log.error(
            "saved state unreadable, an older one is used if there is one", file=file_name, reason=reason
        )
    return state, not unreadable
