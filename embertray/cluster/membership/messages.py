"""Messages between members: msgpack arrays with a tag, after four bytes of checksum.

The header names the cluster and the protocol's version, so that a message of a stranger is distinguished
from a damaged one. The checksum guards against bytes changed on the way, which would pass for a statement.
"""

from zlib import crc32

import msgspec

from .exceptions import UnreadableMessageError
from .member import Statement

VERSION = 1
CHECKSUM_BYTES = 4


class Message(msgspec.Struct, tag_field="is", array_like=True, frozen=True):
    """Header of every message. Field order is the wire's.

    Attributes:
        cluster: Name of the cluster.
        version: Version of the protocol.
        sender: What the sender states about itself.
        target_incarnation: The receiver's incarnation that is meant, 0 for any. What was meant for a former
            incarnation is not for this one.
        sequence: Number of the probe, or of the message that is answered.
        gossip: Statements that are passed on.
    """

    cluster: str
    version: int
    sender: Statement
    target_incarnation: int
    sequence: int
    gossip: list[Statement]


class Ping(Message, tag="ping", frozen=True):
    """A direct probe: asks for an Ack."""


class Ack(Message, tag="ack", frozen=True):
    """Answers a Ping, under its sequence number."""


class PingRequest(Message, tag="help", frozen=True):
    """An indirect probe: asks to ping another member.

    Attributes:
        target: What the sender knows of the member to ping.
    """

    target: Statement


class Nack(Message, tag="nack", frozen=True):
    """Answers a PingRequest at once: the helper has heard it, and has no Ack of the target yet."""


class Join(Message, tag="join", frozen=True):
    """Asks for all that the receiver knows.

    Attributes:
        first: Whether this incarnation has never been a member.
    """

    first: bool


class FullState(Message, tag="all", frozen=True):
    """Answers a Join: a part of all that is known, in `gossip`.

    Attributes:
        remembered_incarnation: The latest incarnation known of the asker's name, 0 if none.
    """

    remembered_incarnation: int


encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Ping | Ack | PingRequest | Nack | Join | FullState)


def encode(message):
    """Return a message as bytes.

    Args:
        message: The Message.
    """
    body = encoder.encode(message)
    return crc32(body).to_bytes(CHECKSUM_BYTES, "big") + body


def decode(data):
    """Return the message that bytes stand for.

    Args:
        data: The bytes.

    Returns:
        The Message.

    Raises:
        UnreadableMessageError: They stand for none.
    """
    body = data[CHECKSUM_BYTES:]
    if not body or crc32(body) != int.from_bytes(data[:CHECKSUM_BYTES], "big"):
        raise UnreadableMessageError("cut short or damaged")
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError) as error:
        raise UnreadableMessageError(str(error)) from None


def statement_size(statement):
    """Return the bytes that a statement takes in a message.

    Args:
        statement: The Statement.
    """
    return len(encoder.encode(statement))
