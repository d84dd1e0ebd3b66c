"""A replica's role, and the state that has to survive its process."""

from enum import Enum

import msgspec

from .entry import Entry


class Role(Enum):
    """What a replica does at the moment."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ReplicaState(msgspec.Struct, array_like=True):
    """A replica's durable state, in the order of its fields on disk.

    Attributes:
        term: the newest term that the replica has seen.
        voted_for: who got its vote in that term, "" if nobody.
        revision: of the last committed entry.
        committed_term: term of the last committed entry.
        forgotten: revision of the newest removal that is no longer remembered.
        versions: the committed versions of all keys that are kept.
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
