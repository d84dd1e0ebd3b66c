"""A replica's role and its durable state."""

from enum import Enum

import msgspec

from .entry import Entry


class Role(Enum):
    """Raft role of a replica."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ReplicaState(msgspec.Struct, array_like=True):
    """A replica's durable state. The order of the fields is the format on disk.

    Attributes:
        term: the newest term that the replica has seen.
        voted_for: name of the replica that it voted for in that term, "" if none.
        revision: revision of the last committed entry.
        committed_term: term of the last committed entry.
        forgotten: revision of the newest removal whose tombstone was dropped.
        versions: the committed versions that are kept, of all keys.
        requests: (request id, revision) of the newest writes.
        uncommitted: entries after `revision`, in order.
    """

    term: int
    voted_for: str
    revision: int
    committed_term: int
    forgotten: int
    versions: list[Entry]
    requests: list[tuple[str, int]]
    uncommitted: list[Entry]
