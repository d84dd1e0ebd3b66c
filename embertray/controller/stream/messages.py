"""The messages on a proxy's stream, as msgspec types: arrays in msgpack, the first item names the message.

Times are whole nanoseconds. Every number and text has its bounds here, so that the decoder refuses what is
out of them and nobody behind it has to ask again. docs/protocol.md tells the same for writers of proxies.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from embertray.common.fields import Count, Message, Name, Time

VERSION = 1
MAX_LINES = 20_000  # lines in one message; the largest table known to us has a quarter of it

Weight = Annotated[float, Meta(ge=0, le=1e12)]
Share = Annotated[float, Meta(ge=0, le=1e12)]
TableId = Annotated[int, Meta(ge=1, le=65534)]
NonceId = Annotated[int, Meta(ge=1, le=65535)]
RetryLimit = Annotated[int, Meta(ge=0, le=3)]


# ---- from a proxy


class Hello(Message, tag="hello"):
    """The first message of a proxy: who it is."""

    version: Count
    proxy: Name
    zone: Name
    rate: Share = 0.0  # requests a second that it usually gets
    fresh: bool = False  # holds its standing table only


class Acknowledgement(Message, tag="answer"):
    """The message that carried this nonce, and all before it, are applied."""

    nonce: NonceId


class BackendTotals(Message):
    """What the proxy met at a backend since its last report."""

    backend: Name
    tries: Count
    failed: Count = 0
    latency: Time = 0  # ns, the sum over attempts that were answered
    load: dict[Name, Share] = {}  # newest load report among the answers


class ArrivalTotals(Message):
    """Requests of a kind that reached the proxy since its last report."""

    kind: Name
    requests: Count
    lost: Count = 0
    # of requests, those that clients marked as retries; None: they mark none
    repeats: Count | None = None


class LoadReport(Message, tag="sums"):
    """What a proxy met and what came to it within `span`."""

    span: Time  # ns
    met: Annotated[list[BackendTotals], Meta(max_length=MAX_LINES)] = []
    came: Annotated[list[ArrivalTotals], Meta(max_length=256)] = []


# ---- to a proxy


class Welcome(Message, tag="welcome"):
    """The first message of a controller."""

    version: Count
    controller: Name
    kinds: list[Name]  # names of the request kinds, in the order that levels use


class Line(Message, tag="line"):
    """One line of a table."""

    table: TableId
    backend: Name
    weight: Weight  # 0 removes the line


class Bind(Message, tag="bind"):
    """The whole table: what the proxy held of an earlier one is forgotten."""

    table: TableId
    lines: Annotated[list[tuple[Name, Weight]], Meta(max_length=MAX_LINES)]
    levels: list[tuple[Name, Share, RetryLimit]] = []
    out: list[Name] = []


class Withdrawal(Message, tag="out"):
    """Whether a backend is withdrawn from whatever the proxy holds."""

    backend: Name
    out: bool


class Level(Message, tag="level"):
    """How much of some request kinds is admitted, and how they may be retried."""

    table: TableId
    kinds: list[Name]  # empty: all
    level: Share
    again: RetryLimit
    wait: Time = 0  # ns that who is denied is asked to stay away; 0: nothing is said


class Orders(Message, tag="orders"):
    """All that a controller orders of one proxy at one step, applied in order and all at once."""

    stamp: Time  # the controller's clock when it ordered this
    cost: Share  # lines that the message counts in the channel, its head and mark included
    do: Annotated[list[Line | Bind | Withdrawal | Level], Meta(max_length=MAX_LINES)]
    nonce: NonceId | None = None


class Fault(Message, tag="fault"):
    """The one error before the stream is closed."""

    code: Name
    text: Annotated[str, Meta(max_length=512)]
    wait: Time = 0  # ns to stay away from this controller


FromProxy = Hello | Acknowledgement | LoadReport
ToProxy = Welcome | Orders | Fault

encode = msgspec.msgpack.Encoder().encode
decode_from_proxy = msgspec.msgpack.Decoder(FromProxy).decode
decode_to_proxy = msgspec.msgpack.Decoder(ToProxy).decode
