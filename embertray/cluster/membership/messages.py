"""Messages between members: msgpack, tagged; the head names cluster and version, so that a stranger is told
from a fault. Four bytes of checksum lead: what a bad way changed must not pass for a statement."""

from zlib import crc32

import msgspec

from .member import Statement

VERSION = 1


class Message(msgspec.Struct, tag_field="is", array_like=True, frozen=True):
    """`to_life`: the life that the sender means, 0 if it knows none: what was meant for a former life is not
    ours.
    """

    cluster: str
    version: int
    sender: Statement
    target_incarnation: int
    sequence: int
    gossip: list[Statement]


class Ping(Message, tag="ping", frozen=True):
    """Asks for an Ack."""


class Ack(Message, tag="ack", frozen=True):
    """`number` is the Ping's."""


class PingRequest(Message, tag="help", frozen=True):
    """Asks to ping another in our place; a Nack says that the helper heard us and has no answer yet."""

    target: Statement


class Nack(Message, tag="nack", frozen=True):
    pass


class Join(Message, tag="join", frozen=True):
    """Asks for all that is known. `first`: this life has never been a member."""

    first: bool


class FullState(Message, tag="all", frozen=True):
    """A part of all that is known, in `news`. `remembered`: the latest life that the asker's name had, 0 if
    none.
    """

    remembered_incarnation: int


encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Ping | Ack | PingRequest | Nack | Join | FullState)


class UnreadableMessageError(ValueError):
    """Not a message of ours: cut short, spoilt, or something else."""


def encode(message):
    body = encoder.encode(message)
    return crc32(body).to_bytes(4, "big") + body


def decode(data):
    """Raises UnreadableMessageError."""
    if len(data) < 5 or crc32(data[4:]) != int.from_bytes(data[:4], "big"):
        raise UnreadableMessageError("cut short or spoilt")
    try:
        return decoder.decode(data[4:])
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError) as wrong:
        raise UnreadableMessageError(str(wrong)) from None


def size(statement):
    return len(encoder.encode(statement))
