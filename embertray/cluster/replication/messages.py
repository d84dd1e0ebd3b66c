"""Messages between replicas, and between a subscriber and its replica: tagged msgpack arrays.

The order of the fields is the wire format. Frames are those of embertray/common/framing.py. Every `stamp` is
the sender's monotonic clock in ns; the receiver echoes it, so that the sender can tell how old the answer may
be without comparing clocks.
"""

import msgspec

from .entry import Count, Digest, Entry, Key, Name, RequestId

VERSION = 1  # of the protocol between subscriber and replica


# ---- between replicas


class ReplicaMessage(msgspec.Struct, tag_field="type", array_like=True, frozen=True):
    """A message between two replicas.

    Attributes:
        cluster: messages of another cluster are ignored.
        sender: name of the replica.
        term: of the sender; for a VoteRequest the term that the vote is asked for.
    """

    cluster: Name
    sender: Name
    term: Count


class VoteRequest(ReplicaMessage, tag="vote-request", frozen=True):
    """A candidate asks for a vote.

    Attributes:
        last_term: of the newest entry in the candidate's log.
        last_revision: of the same entry.
        preliminary: only asks whether a vote would be granted, and changes nothing.
    """

    last_term: Count
    last_revision: Count
    preliminary: bool


class Vote(ReplicaMessage, tag="vote", frozen=True):
    """Answers a VoteRequest.

    Attributes:
        term_asked: the term of the request; `term` is the voter's own.
        granted: whether the vote is given.
        preliminary: as in the request.
    """

    term_asked: Count
    granted: bool
    preliminary: bool


class Append(ReplicaMessage, tag="append", frozen=True):
    """A leader's heartbeat, with the entries that the follower lacks.

    Attributes:
        round: number of the leader's round in its term.
        previous_term: of the entry before `entries`; a follower whose log differs there rejects the message.
        previous_revision: of the same entry.
        entries: uncommitted ones, without gaps.
        commit: the leader's newest committed revision.
        age: ns since a majority confirmed that nothing newer was committed.
        echo: the newest stamp that came from the follower; 0 if none.
        admitted: nonce of a recovering replica that may count again; else 0.
    """

    round: Count
    previous_term: Count
    previous_revision: Count
    entries: list[Entry]
    commit: Count
    age: Count
    echo: Count
    admitted: Count


class Install(ReplicaMessage, tag="install", frozen=True):
    """The committed state of the leader, as far as the follower lacks it.

    Attributes:
        round: as in Append.
        since: the follower must have everything up to this revision.
        commit_term: of the entry at `commit`.
        commit: the revision that the state leads to.
        entries: the newest entry of each key that changed after `since`.
        keys: all live keys, if removals after `since` may have been forgotten; else None.
        requests: (request id, revision) of the writes after `since` that are remembered.
    """

    round: Count
    since: Count
    commit_term: Count
    commit: Count
    entries: list[Entry]
    keys: list[Key] | None
    requests: list[tuple[RequestId, Count]]


class Appended(ReplicaMessage, tag="appended", frozen=True):
    """Answers an Append or Install.

    Attributes:
        round: of the message that is answered.
        accepted: whether the sender has everything up to `last_revision` on disk.
        last_revision: if not accepted, the leader is to continue after it.
        nonce: of the sender's recovery; 0 if its answers count.
        stamp: the sender's clock, ns.
        subscribers: number of the sender's subscribers.
        lowest_confirmed: the revision that all of them have confirmed.
    """

    round: Count
    accepted: bool
    last_revision: Count
    nonce: Count
    stamp: Count
    subscribers: Count
    lowest_confirmed: Count


class RecoverRequest(ReplicaMessage, tag="recover-request", frozen=True):
    """A replica without its state asks the others whether anything was ever written."""

    nonce: Count


class RecoverReply(ReplicaMessage, tag="recover-reply", frozen=True):
    """Answers a RecoverRequest. `blank`: the sender has never voted, and its log is empty."""

    nonce: Count
    blank: bool


# ---- between a subscriber and its replica


class Subscribe(msgspec.Struct, tag_field="type", tag="subscribe", array_like=True, frozen=True):
    """A subscriber's first message, repeated when it finds a gap.

    Attributes:
        cluster: that the subscriber belongs to.
        version: of the protocol.
        subscriber: its name.
        revision: everything after it is wanted.
        stamp: the sender's clock, ns.
        allowance: bytes that its budget still allows, whoever spent the rest.
    """

    cluster: Name
    version: Count
    subscriber: Name
    revision: Count
    stamp: Count
    allowance: Count


class Confirm(msgspec.Struct, tag_field="type", tag="confirm", array_like=True, frozen=True):
    """Everything up to `revision` is applied; answers updates and heartbeats. `stamp`: the sender's clock."""

    revision: Count
    stamp: Count


class Repair(msgspec.Struct, tag_field="type", tag="repair", array_like=True, frozen=True):
    """The digests differ at the same revision; these are the subscriber's own, one for each bucket."""

    digests: list[Digest]


class Heartbeat(msgspec.Struct, tag_field="type", tag="heartbeat", array_like=True, frozen=True):
    """A replica's state, sent to each subscriber at an interval.

    Attributes:
        commit: the newest revision that the replica knows to be committed.
        digest: of its store at that revision.
        age: ns since nothing newer was committed for certain; freshness.AGE_UNKNOWN if it does not know.
        echo: the newest stamp that came from the subscriber; 0 if none.
    """

    commit: Count
    digest: Digest
    age: Count
    echo: Count


class Update(msgspec.Struct, tag_field="type", tag="update", array_like=True, frozen=True):
    """The newest entries of the keys that changed after `since`, up to `upto`, by rising revision."""

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
