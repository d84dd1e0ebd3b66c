"""Instructions that the state machines, which do no I/O, return to the process that runs them."""

from dataclasses import dataclass, field
from typing import NamedTuple

from .entry import Entry
from .replica_state import ReplicaState


@dataclass(frozen=True)
class Envelope:
    """Send `message` to the replica named `recipient`."""

    recipient: str
    message: object


@dataclass
class ReplicaInstructions:
    """Instructions of a replica, to be executed in the order of the fields.

    Attributes:
        state: durable state to save before anything is sent; None if it has not changed.
        messages: messages to send to other replicas.
        committed: entries that became committed at this replica, in ascending revision order.
    """

    state: ReplicaState | None = None
    messages: list[Envelope] = field(default_factory=list)
    committed: list[Entry] = field(default_factory=list)


@dataclass(frozen=True)
class SubscriberMessage:
    """Send the encoded message `data` to the named subscriber."""

    subscriber: str
    data: bytes


@dataclass(frozen=True)
class OpenConnection:
    """Connect to `replica`; `connection_id` distinguishes this connection from earlier ones."""

    replica: str
    connection_id: int


@dataclass(frozen=True)
class CloseConnection:
    """Close a connection; `reason` is for the log."""

    connection_id: int
    reason: str


@dataclass(frozen=True)
class SendMessage:
    """Send an encoded message on a connection."""

    connection_id: int
    data: bytes


class FeedInstructions(NamedTuple):
    """Instructions of a replica's feed.

    Attributes:
        messages: SubscriberMessages to send, in order.
        silent: names of dropped subscribers, whose connections have to be closed.
    """

    messages: list[SubscriberMessage]
    silent: list[str]
