"""What a replica is asked, answers and keeps: roles, refusals, steps, and the state that has to be saved."""

from dataclasses import dataclass, field
from enum import Enum

import msgspec

from .entry import Entry


class Role(Enum):
    """What a replica does at the moment."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class WriteRejected(Exception):
    """The write was not taken, and has no effect."""


class NotLeader(WriteRejected):
    """`leader`: the replica to ask, or "" if none is known."""

    def __init__(self, leader):
        super().__init__(f"the leader is {leader}" if leader else "no leader is known")
        self.leader = leader


class NoMajority(WriteRejected):
    """No majority of the replicas confirms the leader."""


class Conflict(WriteRejected):
    """The key is not at the revision that the writer expected."""


class Overloaded(WriteRejected):
    """Too many writes wait, too many keys or too many bytes are held."""


class ReplicaState(msgspec.Struct, array_like=True):
    """What has to outlive the process."""

    term: int
    voted_for: str
    revision: int
    committed_term: int
    forgotten: int
    versions: list[Entry]
    requests: list[tuple[str, int]]
    uncommitted: list[Entry]


@dataclass(frozen=True)
class Envelope:
    """A message for the replica `to`."""

    to: str
    message: object


@dataclass
class Instructions:
    """What is to be done now: save `state` if there is one, then send `messages`; `committed` are the entries
    that were committed here, in order."""

    state: ReplicaState | None = None
    messages: list[Envelope] = field(default_factory=list)
    committed: list[Entry] = field(default_factory=list)


@dataclass
class FollowerProgress:
    """What a leader knows of another replica."""

    next: int  # revision that it is to be sent next
    match: int = 0  # it holds everything up to here
    sent: int = 0  # newest revision that is under way to it, or was
    acknowledged: int = 0  # newest round that it answered
    nonce: int = 0  # of its recovery, 0 if it counts
    nonce_at: int = 0  # ns when that was first heard
    admitted: bool = False  # it was told that it counts again
    stamp: int = 0  # newest time of its clock that it told
