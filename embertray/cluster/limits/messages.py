"""Messages between members about limits: tagged msgspec arrays.

Ballots are integers; each belongs to one proposer.
"""

from typing import NamedTuple

import msgspec


class Message(msgspec.Struct, array_like=True, frozen=True):
    """Base of all messages. The field order is the order on the wire."""


class OutgoingMessage(NamedTuple):
    """A message to send.

    Attributes:
        receiver: Name of the receiving member.
        message: The Message.
    """

    receiver: str
    message: Message


class Prepare(Message, tag="prepare"):
    """Starts a ballot.

    Attributes:
        ballot: The ballot.
    """

    ballot: int


class Promise(Message, tag="promise"):
    """Answers a Prepare: the acceptor will not answer lower ballots.

    Attributes:
        ballot: The ballot.
        holder: Name of the member whose lease the acceptor has accepted and considers valid; "" if none.
    """

    ballot: int
    holder: str


class Propose(Message, tag="propose"):
    """Requests the lease.

    Attributes:
        ballot: The ballot.
    """

    ballot: int


class Accepted(Message, tag="accepted"):
    """Answers a Propose: the acceptor grants the lease.

    Attributes:
        ballot: The ballot.
    """

    ballot: int


class QuotaRequest(Message, tag="ask"):
    """A member's demand and current allotments; sent to all members.

    Attributes:
        incarnation: The sender's incarnation.
        sequence: Sequence number; increases with each request, across incarnations, too.
        ballot: Ballot of the latest leader that the sender knows; that leader is asked for a grant.
        leading: Whether the sender is that leader itself.
        applied: Sequence number of the request whose grant is in force.
        demand: limit -> units wanted.
        allotments: limit -> proxy -> maximum units that the proxy may use by quotas from the sender, for
            proxies that are connected to the sender or have left it.
        acknowledged: Connected proxies that use a quota from the sender.
        last_heard: member -> sequence number of its last request that the sender knows.
    """

    incarnation: int
    sequence: int
    ballot: int
    leading: bool
    applied: int
    demand: dict[str, int]
    allotments: dict[str, dict[str, int]]
    acknowledged: frozenset[str]
    last_heard: dict[str, int]


class QuotaGrant(Message, tag="grant"):
    """Answers a QuotaRequest: a grant for one lease term from the time of the request.

    Attributes:
        sequence: Sequence number of the request.
        ballot: Ballot of the leader's lease.
        amounts: limit -> granted units.
    """

    sequence: int
    ballot: int
    amounts: dict[str, int]


class HistoryRequest(Message, tag="recall"):
    """Sent by a member that has just started: asks for the requests that others remember."""


class HistoryReply(Message, tag="recalled"):
    """Answers a HistoryRequest.

    Attributes:
        requests: member -> its last request of each remembered incarnation.
    """

    requests: dict[str, list[QuotaRequest]]
