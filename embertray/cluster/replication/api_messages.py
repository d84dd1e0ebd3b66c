"""Responses of a replica's HTTP API: JSON objects with a `type`."""

from typing import Annotated

import msgspec
from msgspec import Meta

Text = Annotated[str, Meta(max_length=4096)]


class Committed(msgspec.Struct, tag="committed", frozen=True):
    """The write is committed as version `revision` of the key: a majority has it on disk."""

    key: Text
    revision: int


class Rejected(msgspec.Struct, tag="refused", frozen=True):
    """The write was not accepted and has no effect.

    Attributes:
        reason: the `reason` of an exceptions.WriteRejectedError, or "BadCall" for a malformed request.
        text: human-readable explanation.
        leader: admin address of the leader, which would accept the write; "" if it is not known.
    """

    reason: Text
    text: Text
    leader: Text = ""


class OutcomeUnknown(msgspec.Struct, tag="unknown", frozen=True):
    """The write may or may not have been committed; repeating it with its request id settles that."""

    text: Text


class Value(msgspec.Struct, tag="value", frozen=True):
    """The current value of a key at the replica or subscriber that answers.

    Attributes:
        key: name of the key.
        revision: revision of the write.
        value: the value's bytes, base64 in JSON.
        age_s: seconds since it was certain that nothing newer was committed; None if that is not known.
    """

    key: Text
    revision: int
    value: bytes
    age_s: float | None


class Version(msgspec.Struct, frozen=True):
    """One version of a key. `bytes` is the size of the value, None for a removal."""

    revision: int
    bytes: int | None


class Versions(msgspec.Struct, tag="versions", frozen=True):
    """The versions of a key that are kept, oldest first; the last one is current."""

    key: Text
    versions: list[Version]


class KeyNotFound(msgspec.Struct, tag="missing", frozen=True):
    """The key does not exist."""

    key: Text


Answer = Committed | Rejected | OutcomeUnknown | Value | Versions | KeyNotFound
_decoder = msgspec.json.Decoder(Answer)


def encode_answer(answer):
    """Encodes an Answer as a line of JSON."""
    return msgspec.json.encode(answer) + b"\n"


def decode_answer(data):
    """Decodes an Answer from JSON. Raises msgspec.DecodeError."""
    return _decoder.decode(data)
