"""Messages of the control plane: tagged msgpack arrays, in the length-prefixed frames of stream/frames.py."""

import msgspec

from .entry import Count, Digest, Entry, Key, Name, RequestId

VERSION = 1


# ---- between replicas


class ReplicaMessage(msgspec.Struct, tag_field="type", array_like=True, frozen=True):
    """What one replica says to another. `cluster` keeps strangers out."""

    cluster: Name
    sender: Name
    term: Count


class VoteRequest(ReplicaMessage, tag="vote-request", frozen=True):
    """Asks for a vote in `term`. `preliminary`: only asks whether one would be given, and changes nothing."""

    last_term: Count
    last_revision: Count
    preliminary: bool


class Vote(ReplicaMessage, tag="vote", frozen=True):
    """Answers a VoteRequest of `term_asked`; `term` is the voter's own."""

    term_asked: Count
    granted: bool
    preliminary: bool


class Append(ReplicaMessage, tag="append", frozen=True):
    """A leader's heartbeat, with what follows the entry (previous_term, previous_revision). `round` numbers
    the heartbeats of a leadership; `age` is the ns since a majority last confirmed it; `echo` is the newest
    stamp that came from the follower, 0 if none. `admitted` is the nonce of a recovering replica whose return
    a majority has confirmed, else 0."""

    round: Count
    previous_term: Count
    previous_revision: Count
    entries: list[Entry]
    commit: Count
    age: Count
    echo: Count
    admitted: Count


class Install(ReplicaMessage, tag="install", frozen=True):
    """Brings the committed state of a follower from `since` to `commit`: the newest entry of each key that
    changed, and the digests that the state has then."""

    round: Count
    since: Count
    commit_term: Count
    commit: Count
    entries: list[Entry]
    keys: list[Key] | None  # all live keys, where removals since `since` may have been forgotten
    requests: list[tuple[RequestId, Count]]  # ids of all requests since `since` that are remembered


class Appended(ReplicaMessage, tag="appended", frozen=True):
    """Answers an Append or Install. `accepted`: the sender holds everything up to `last_revision`; if not,
    the leader is to continue after that revision. `nonce`: not 0 while the sender is recovering. `stamp`: the
    sender's clock, ns. `subscribers` and `lowest_confirmed` report what the sender's subscribers hold."""

    round: Count
    accepted: bool
    last_revision: Count
    nonce: Count
    stamp: Count
    subscribers: Count
    lowest_confirmed: Count


class RecoverRequest(ReplicaMessage, tag="recover-request", frozen=True):
    """A replica without state asks the others whether anything was ever written."""

    nonce: Count


class RecoverReply(ReplicaMessage, tag="recover-reply", frozen=True):
    """`blank`: the sender has never voted, and holds nothing."""

    nonce: Count
    blank: bool


# ---- between a subscriber and its replica


class Subscribe(msgspec.Struct, tag_field="type", tag="subscribe", array_like=True, frozen=True):
    """A subscriber's first message, and whenever it found a gap: everything after `revision` is wanted.
    `stamp`: the sender's clock; `allowance`: bytes that its budget still allows, whoever spent the rest."""

    cluster: Name
    version: Count
    subscriber: Name
    revision: Count
    stamp: Count
    allowance: Count


class Confirm(msgspec.Struct, tag_field="type", tag="confirm", array_like=True, frozen=True):
    """Everything up to `revision` is applied. Answers each heartbeat, too. `stamp`: the sender's clock."""

    revision: Count
    stamp: Count


class Repair(msgspec.Struct, tag_field="type", tag="repair", array_like=True, frozen=True):
    """The digests differ at the same revision: the subscriber's own, one for each bucket."""

    digests: list[Digest]


class Heartbeat(msgspec.Struct, tag_field="type", tag="heartbeat", array_like=True, frozen=True):
    """What the replica has committed, its digest, and the ns since that was certainly the newest. `echo`: the
    newest stamp that came from the subscriber, so that it knows what time this was said after; 0 if none."""

    commit: Count
    digest: Digest
    age: Count
    echo: Count


class Update(msgspec.Struct, tag_field="type", tag="update", array_like=True, frozen=True):
    """The newest entries of the keys that changed after `since`, as far as `upto`, by rising revision."""

    since: Count
    upto: Count
    entries: list[Entry]


class InventoryItem(msgspec.Struct, array_like=True, frozen=True):
    """One live key of a bucket."""

    key: Key
    revision: Count
    fingerprint: Digest


class Inventory(msgspec.Struct, tag_field="type", tag="inventory", array_like=True, frozen=True):
    """All live keys of one bucket at revision `upto`: what a subscriber holds beside them was removed."""

    bucket: Count
    upto: Count
    items: list[InventoryItem]


class MalformedMessage(ValueError):
    """What came is none of these messages."""


_encoder = msgspec.msgpack.Encoder()
_decoders = {
    kinds: msgspec.msgpack.Decoder(kinds)
    for kinds in (
        VoteRequest | Vote | Append | Install | Appended | RecoverRequest | RecoverReply,
        Subscribe | Confirm | Repair,
        Heartbeat | Update | Inventory,
    )
}
_between_replicas, _from_subscriber, _to_subscriber = _decoders.values()


def encode(message):
    """The bytes of a message, without its frame."""
    return _encoder.encode(message)


def _decode(decoder, data):
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError) as wrong:
        raise MalformedMessage(str(wrong)) from None


def decode_replica_message(data):
    """What another replica says. Raises MalformedMessage."""
    return _decode(_between_replicas, data)


def decode_from_subscriber(data):
    """What a subscriber says. Raises MalformedMessage."""
    return _decode(_from_subscriber, data)


def decode_to_subscriber(data):
    """What a replica says to its subscriber. Raises MalformedMessage."""
    return _decode(_to_subscriber, data)
