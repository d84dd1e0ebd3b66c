"""What members tell each other of limits. Ballots are whole numbers, each of one proposer."""

import msgspec


class Message(msgspec.Struct, array_like=True, frozen=True):
    pass


class Prepare(Message, tag="prepare"):
    ballot: int


class Promise(Message, tag="promise"):
    """`owner`: whose lease the acceptor has accepted and not seen end; "" if none."""

    ballot: int
    holder: str


class Propose(Message, tag="propose"):
    ballot: int


class Accepted(Message, tag="accepted"):
    ballot: int


class QuotaRequest(Message, tag="ask"):
    """To all. `life`: the sender's; `seq` rises over its lives, too. `ballot`: the leader that is asked, as
    far as known; `leading`: the sender holds that lease itself. `applied`: the grant that is in force (its
    ask's number). `wants`: limit -> units wanted. `parts`: limit -> proxy -> most units that it may act on by
    our word, of those here and those that left; `acted`: those here that act on our word. `heard`: member ->
    its last ask known here."""

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
    """Of ask `seq`: units lent of each limit, for the term from when it was asked."""

    sequence: int
    ballot: int
    amounts: dict[str, int]


class HistoryRequest(Message, tag="recall"):
    """One that has just started asks what its former lives and others told."""


class HistoryReply(Message, tag="recalled"):
    """member -> its last ask of each life that is still remembered."""

    requests: dict[str, list[QuotaRequest]]
