"""What a replica's HTTP API answers, as JSON objects with a `type`."""

from typing import Annotated

import msgspec
from msgspec import Meta

Text = Annotated[str, Meta(max_length=4096)]


class Committed(msgspec.Struct, tag="committed", frozen=True):
    """The write is on the disks of a majority, as the version `revision` of the key."""

    key: Text
    revision: int


class Rejected(msgspec.Struct, tag="refused", frozen=True):
    """The write was not accepted and has no effect.

    Attributes:
        reason: the `reason` of an exceptions.WriteRejectedError, or "BadCall" for a malformed request.
        text: for people.
        leader: operators' address of the leader to ask instead, "" if none is known.
    """

    reason: Text
    text: Text
    leader: Text = ""


class Unknown(msgspec.Struct, tag="unknown", frozen=True):
    """The write may have been committed or not; repeating it with its request id finds out."""

    text: Text


class Value(msgspec.Struct, tag="value", frozen=True):
    """What is in force for a key at the replica or subscriber that answers.

    Attributes:
        key: its name.
        revision: of the write.
        value: its bytes, in JSON as base64.
        age_s: seconds since it was certain that nothing newer was committed; None if it is not known.
    """

    key: Text
    revision: int
    value: bytes
    age_s: float | None


class Version(msgspec.Struct, frozen=True):
    """One version of a key. `bytes` is the size of its value, None for a removal."""

    revision: int
    bytes: int | None


class Versions(msgspec.Struct, tag="versions", frozen=True):
    """The versions of a key that are kept, oldest first; the last one is in force."""

    key: Text
    versions: list[Version]


class Missing(msgspec.Struct, tag="missing", frozen=True):
    """The key does not exist."""

    key: Text


Answer = Committed | Rejected | Unknown | Value | Versions | Missing
_decoder = msgspec.json.Decoder(Answer)


def encode_answer(answer):
    """The JSON of an Answer, with a newline."""
    return msgspec.json.encode(answer) + b"\n"


def decode_answer(data):
    """The Answer of its JSON. Raises msgspec.DecodeError."""
    return _decoder.decode(data)
