"""Encoding and decoding of messages. Input that cannot be decoded raises MalformedMessageError."""

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
_replica_message_decoder = msgspec.msgpack.Decoder(
    VoteRequest | Vote | Append | Install | Appended | RecoverRequest | RecoverReply
)
_from_subscriber_decoder = msgspec.msgpack.Decoder(Subscribe | Confirm | Repair)
_to_subscriber_decoder = msgspec.msgpack.Decoder(Heartbeat | Update | Inventory)


def encode(message):
    """Encodes a message, without a frame."""
    return _encoder.encode(message)


def decode_replica_message(data):
    """Decodes a message from another replica. Raises MalformedMessageError."""
    return _decode(_replica_message_decoder, data)


def decode_from_subscriber(data):
    """Decodes a message from a subscriber. Raises MalformedMessageError."""
    return _decode(_from_subscriber_decoder, data)


def decode_to_subscriber(data):
    """Decodes a message from a replica to a subscriber. Raises MalformedMessageError."""
    return _decode(_to_subscriber_decoder, data)


def _decode(decoder, data):
    # input is untrusted: deep nesting raises RecursionError, huge numbers OverflowError
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError) as error:
        raise MalformedMessageError(str(error)) from None
