"""What operators' calls to a replica are answered with, as JSON. Each has a `type`."""

from typing import Annotated

import msgspec
from msgspec import Meta

Text = Annotated[str, Meta(max_length=4096)]


class Committed(msgspec.Struct, tag="committed", frozen=True):
    """The write is kept by a majority, as the version `revision` of the key."""

    key: Text
    revision: int


class Rejected(msgspec.Struct, tag="refused", frozen=True):
    """The write was not taken. `reason`: a name of control.replica.WriteRejected's kinds; `leader`: the admin
    address to ask instead, "" if none is known."""

    reason: Text
    text: Text
    leader: Text = ""


class Unknown(msgspec.Struct, tag="unknown", frozen=True):
    """The write may have been taken or not; the same request id finds out."""

    text: Text


class Value(msgspec.Struct, tag="value", frozen=True):
    """What is in force for a key at whoever answers, and the age of that, None if it is not known."""

    key: Text
    revision: int
    value: bytes
    age_s: float | None


class Version(msgspec.Struct, frozen=True):
    """One version of a key. `bytes` is None for a removal."""

    revision: int
    bytes: int | None


class Versions(msgspec.Struct, tag="versions", frozen=True):
    """The versions of a key that are kept, oldest first; the last one is in force."""

    key: Text
    versions: list[Version]


class Missing(msgspec.Struct, tag="missing", frozen=True):
    """The key is not there."""

    key: Text


Answer = Committed | Rejected | Unknown | Value | Versions | Missing
_decoder = msgspec.json.Decoder(Answer)


def encode_answer(answer):
    """JSON of an Answer."""
    return msgspec.json.encode(answer) + b"\n"


def decode_answer(data):
    """The Answer of its JSON. Raises msgspec.DecodeError."""
    return _decoder.decode(data)
