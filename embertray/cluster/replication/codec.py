"""Encoding and decoding of messages: whatever a peer sends decodes, or raises MalformedMessageError."""

import msgspec

from .exceptions import MalformedMessageError
from .messages import (
    Append,
    Appended,
    Confirm,
    Heartbeat,
    Install,
    Inventory,
    RecoverReply,
    RecoverRequest,
    Repair,
    Subscribe,
    Update,
    Vote,
    VoteRequest,
)

_encoder = msgspec.msgpack.Encoder()
_between_replicas = msgspec.msgpack.Decoder(
    VoteRequest | Vote | Append | Install | Appended | RecoverRequest | RecoverReply
)
_from_subscriber = msgspec.msgpack.Decoder(Subscribe | Confirm | Repair)
_to_subscriber = msgspec.msgpack.Decoder(Heartbeat | Update | Inventory)


def encode(message):
    """The bytes of a message, without its frame."""
    return _encoder.encode(message)


def decode_replica_message(data):
    """Decodes what another replica sent. Raises MalformedMessageError."""
    return _decode(_between_replicas, data)


def decode_from_subscriber(data):
    """Decodes what a subscriber sent. Raises MalformedMessageError."""
    return _decode(_from_subscriber, data)


def decode_to_subscriber(data):
    """Decodes what a replica sent to its subscriber. Raises MalformedMessageError."""
    return _decode(_to_subscriber, data)


def _decode(decoder, data):
    # a peer may send anything: deep nesting raises RecursionError, huge numbers OverflowError
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError) as error:
        raise MalformedMessageError(str(error)) from None
