"""Messages that members send each other about limits: msgspec arrays with a tag.

Ballots are whole numbers; each belongs to one proposer.
"""

from typing import NamedTuple

import msgspec


class Message(msgspec.Struct, array_like=True, frozen=True):
    """Base of all messages. Field order is the wire's."""


class OutgoingMessage(NamedTuple):
    """A message to send.

    Attributes:
        receiver: Name of the member.
        message: The Message.
    """

    receiver: str
    message: Message


class Prepare(Message, tag="prepare"):
    """Opens a ballot.

    Attributes:
        ballot: The ballot.
    """

    ballot: int


class Promise(Message, tag="promise"):
    """Answers a Prepare: no lower ballot is answered any more.

    Attributes:
        ballot: The ballot.
        holder: Whose lease the acceptor has accepted and not seen end; "" if none.
    """

    ballot: int
    holder: str


class Propose(Message, tag="propose"):
    """Asks for the lease.

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
    """What a member wants and what it uses; sent to all members.

    Attributes:
        incarnation: The sender's, later in each.
        sequence: Rises with each request, over the incarnations, too.
        ballot: The leader that is asked, by the ballot of its lease, as far as it is known.
        leading: Whether the sender holds that lease itself.
        applied: Sequence number of the request whose grant is in force.
        demand: limit -> units wanted.
        allotments: limit -> proxy -> most units that it may act on by the sender's word, of proxies that are
            connected to the sender or have left it.
        acknowledged: Connected proxies that act on the sender's word.
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
    """Answers a QuotaRequest: a loan, for a term that runs from when it was requested.

    Attributes:
        sequence: Sequence number of the request.
        ballot: Ballot of the leader's lease.
        amounts: limit -> units that are lent.
    """

    sequence: int
    ballot: int
    amounts: dict[str, int]


class HistoryRequest(Message, tag="recall"):
    """Of a member that has just started: asks for the requests that others remember."""


class HistoryReply(Message, tag="recalled"):
    """Answers a HistoryRequest.

    Attributes:
        requests: member -> its last request of each incarnation that is remembered.
    """

    requests: dict[str, list[QuotaRequest]]
