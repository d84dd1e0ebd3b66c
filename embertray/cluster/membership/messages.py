"""Messages between members: tagged msgpack arrays, preceded by a CRC-32 checksum of four bytes.

The header names the cluster and the protocol version, so that messages of other clusters can be told from
damaged ones. Without the checksum, bytes changed in transit could pass for a valid statement.
"""

from zlib import crc32

import msgspec

from .exceptions import UnreadableMessageError
from .member import Statement

VERSION = 1
CHECKSUM_BYTES = 4


class Message(msgspec.Struct, tag_field="is", array_like=True, frozen=True):
    """Header of every message. The field order is the order on the wire.

    Attributes:
        cluster: Name of the cluster.
        version: Protocol version.
        sender: The sender's Statement about itself.
        target_incarnation: The receiver's incarnation that the message is for, 0 for any. Other incarnations
            reject it.
        sequence: Sequence number; a reply has that of the message it answers.
        gossip: Piggybacked Statements.
    """

    cluster: str
    version: int
    sender: Statement
    target_incarnation: int
    sequence: int
    gossip: list[Statement]


class Ping(Message, tag="ping", frozen=True):
    """A direct probe, answered by an Ack."""


class Ack(Message, tag="ack", frozen=True):
    """Answers a Ping, with the Ping's sequence number."""


class PingRequest(Message, tag="help", frozen=True):
    """Requests an indirect probe: asks the receiver to ping another member.

    Attributes:
        target: The sender's Statement about the member to ping.
    """

    target: Statement


class Nack(Message, tag="nack", frozen=True):
    """Answers a PingRequest at once: it has arrived, and the target has not sent an Ack yet."""


class Join(Message, tag="join", frozen=True):
    """Requests the receiver's full state.

    Attributes:
        first: Whether this incarnation has not joined yet.
    """

    first: bool


class FullState(Message, tag="all", frozen=True):
    """Answers a Join: a part of the sender's full state, in `gossip`.

    Attributes:
        remembered_incarnation: The latest known incarnation of the member that sent the Join, 0 if none.
    """

    remembered_incarnation: int


encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Ping | Ack | PingRequest | Nack | Join | FullState)


def encode(message):
    """Encode a message as a datagram.

    Args:
        message: The Message.
    """
    body = encoder.encode(message)
    return crc32(body).to_bytes(CHECKSUM_BYTES, "big") + body


def decode(data):
    """Decode a datagram.

    Args:
        data: Its bytes.

    Returns:
        The Message.

    Raises:
        UnreadableMessageError: The bytes are not a valid message.
    """
    body = data[CHECKSUM_BYTES:]
    if not body or crc32(body) != int.from_bytes(data[:CHECKSUM_BYTES], "big"):
        raise UnreadableMessageError("datagram truncated or checksum mismatch")
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError) as error:
        raise UnreadableMessageError(str(error)) from None


def statement_size(statement):
    """Return the encoded size of a statement, bytes.

    Args:
        statement: The Statement.
    """
    return len(encoder.encode(statement))
