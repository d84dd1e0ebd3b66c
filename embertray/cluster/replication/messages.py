"""Messages between replicas, and between a subscriber and its replica: tagged msgpack arrays.

The order of the fields is the wire format; framing is that of embertray/common/framing.py. Every `stamp` is
the sender's monotonic clock in ns. The receiver echoes it, which lets the sender bound the age of an answer
without comparing clocks.
"""

import msgspec

from .entry import Count, Digest, Entry, Key, Name, RequestId

VERSION = 1  # protocol version between subscriber and replica


# ---- between replicas


class ReplicaMessage(msgspec.Struct, tag_field="type", array_like=True, frozen=True):
    """A message between two replicas.

    Attributes:
        cluster: name of the cluster; messages of another cluster are ignored.
        sender: name of the sending replica.
        term: the sender's term; in a VoteRequest the term that the vote is requested for.
    """

    cluster: Name
    sender: Name
    term: Count


class VoteRequest(ReplicaMessage, tag="vote-request", frozen=True):
    """A candidate's request for a vote.

    Attributes:
        last_term: term of the newest entry in the candidate's log.
        last_revision: revision of that entry.
        preliminary: True for a pre-vote, which only asks whether a vote would be granted.
    """

    last_term: Count
    last_revision: Count
    preliminary: bool


class Vote(ReplicaMessage, tag="vote", frozen=True):
    """The answer to a VoteRequest.

    Attributes:
        term_asked: the term of the request; `term` is the voter's own.
        granted: whether the vote is granted.
        preliminary: as in the request.
    """

    term_asked: Count
    granted: bool
    preliminary: bool


class Append(ReplicaMessage, tag="append", frozen=True):
    """A leader's heartbeat, with the entries that the follower lacks.

    Attributes:
        round: number of the heartbeat round within the leader's term.
        previous_term: term of the entry before `entries`; a follower whose log differs there rejects the
            message.
        previous_revision: revision of that entry.
        entries: consecutive uncommitted entries.
        commit: the leader's newest committed revision.
        age: ns since a majority confirmed that nothing newer was committed.
        echo: the newest stamp received from the follower; 0 if none.
        admitted: nonce of a recovering replica that is readmitted; else 0.
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
    """The part of the leader's committed state that the follower lacks.

    Attributes:
        round: as in Append.
        since: the message applies to a follower that has everything up to this revision.
        commit_term: term of the entry at `commit`.
        commit: revision of the state once the message is applied.
        entries: the newest entry of each key that changed after `since`.
        keys: all live keys, if tombstones after `since` may have been dropped; else None.
        requests: (request id, revision) of the writes after `since` whose ids are kept.
    """

    round: Count
    since: Count
    commit_term: Count
    commit: Count
    entries: list[Entry]
    keys: list[Key] | None
    requests: list[tuple[RequestId, Count]]


class Appended(ReplicaMessage, tag="appended", frozen=True):
    """The answer to an Append or Install.

    Attributes:
        round: round of the answered message.
        accepted: whether the sender has everything up to `last_revision` on disk.
        last_revision: if not accepted, the revision after which the leader has to continue.
        nonce: nonce of the sender's recovery; 0 if it is not recovering and its answers count.
        stamp: the sender's clock, ns.
        subscribers: number of the sender's subscribers.
        lowest_confirmed: the highest revision that all of them have confirmed.
    """

    round: Count
    accepted: bool
    last_revision: Count
    nonce: Count
    stamp: Count
    subscribers: Count
    lowest_confirmed: Count


class RecoverRequest(ReplicaMessage, tag="recover-request", frozen=True):
    """A replica that started without its state asks the others whether they hold any."""

    nonce: Count


class RecoverReply(ReplicaMessage, tag="recover-reply", frozen=True):
    """The answer to a RecoverRequest. `blank`: the sender has never voted and its log is empty."""

    nonce: Count
    blank: bool


# ---- between a subscriber and its replica


class Subscribe(msgspec.Struct, tag_field="type", tag="subscribe", array_like=True, frozen=True):
    """A subscriber's first message, repeated when it detects a gap.

    Attributes:
        cluster: name of the subscriber's cluster.
        version: protocol version.
        subscriber: name of the subscriber.
        revision: the subscriber has everything up to it and requests what follows.
        stamp: the sender's clock, ns.
        allowance: bytes left in the subscriber's budget, which all replicas draw on.
    """

    cluster: Name
    version: Count
    subscriber: Name
    revision: Count
    stamp: Count
    allowance: Count


class Confirm(msgspec.Struct, tag_field="type", tag="confirm", array_like=True, frozen=True):
    """Acknowledges updates and heartbeats: everything up to `revision` is applied.

    `stamp` is the sender's clock in ns.
    """

    revision: Count
    stamp: Count


class Repair(msgspec.Struct, tag_field="type", tag="repair", array_like=True, frozen=True):
    """Reports differing digests at the same revision; `digests` are the subscriber's own, one per bucket."""

    digests: list[Digest]


class Heartbeat(msgspec.Struct, tag_field="type", tag="heartbeat", array_like=True, frozen=True):
    """A replica's state, sent to each subscriber periodically.

    Attributes:
        commit: the newest revision that the replica knows to be committed.
        digest: digest of its store at that revision.
        age: ns since it was certain that nothing newer was committed; freshness.AGE_UNKNOWN if it never was.
        echo: the newest stamp received from the subscriber; 0 if none.
    """

    commit: Count
    digest: Digest
    age: Count
    echo: Count


class Update(msgspec.Struct, tag_field="type", tag="update", array_like=True, frozen=True):
    """The newest entries of the keys that changed after `since`, up to `upto`, in revision order."""

    since: Count
    upto: Count
    entries: list[Entry]


class InventoryItem(msgspec.Struct, array_like=True, frozen=True):
    """One live key of a bucket."""

    key: Key
    revision: Count
    fingerprint: Digest


class Inventory(msgspec.Struct, tag_field="type", tag="inventory", array_like=True, frozen=True):
    """All live keys of one bucket at revision `upto`; any other key that a subscriber holds was removed."""

    bucket: Count
    upto: Count
    items: list[InventoryItem]
