"""What the state machines ask the process around them to do. They do no I/O themselves."""

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
    """What a replica wants done, in this order.

    Attributes:
        state: to be saved before anything is sent; None if nothing durable has changed.
        messages: to be sent to other replicas.
        committed: entries that were committed here, by rising revision.
    """

    state: ReplicaState | None = None
    messages: list[Envelope] = field(default_factory=list)
    committed: list[Entry] = field(default_factory=list)


@dataclass(frozen=True)
class SubscriberMessage:
    """Send the encoded message `data` to the subscriber of that name."""

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
    """What a replica's feed wants done.

    Attributes:
        messages: SubscriberMessages to send, in order.
        silent: names of subscribers that were dropped; their connections are to be closed.
    """

    messages: list[SubscriberMessage]
    silent: list[str]
