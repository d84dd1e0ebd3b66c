"""The messages on a proxy's stream, as msgspec types: arrays in msgpack whose first item names the message.

Times are whole nanoseconds. The bounds of every number and text are declared here, so that the decoder
rejects values out of bounds and the code behind it need not check them. docs/protocol.md describes the same
messages for authors of proxies.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from embertray.common.fields import Count, Message, Name, Time

VERSION = 1
MAX_LINES = 20_000  # in one message: four times the largest known table

Weight = Annotated[float, Meta(ge=0, le=1e12)]
NonNegative = Annotated[float, Meta(ge=0, le=1e12)]
TableId = Annotated[int, Meta(ge=1, le=65534)]
NonceId = Annotated[int, Meta(ge=1, le=65535)]
RetryLimit = Annotated[int, Meta(ge=0, le=3)]


# ---- from a proxy


class Hello(Message, tag="hello"):
    """The first message of a proxy, which identifies it."""

    version: Count
    proxy: Name
    zone: Name
    rate: NonNegative = 0.0  # requests a second that the proxy usually receives
    fresh: bool = False  # the proxy has only its standing table


class Acknowledgement(Message, tag="answer"):
    """The proxy has applied the message with this nonce, and all messages before it."""

    nonce: NonceId


class BackendTotals(Message):
    """The proxy's attempts at a backend since its last report."""

    backend: Name
    tries: Count
    failed: Count = 0
    latency: Time = 0  # ns, summed over the attempts that were answered
    load: dict[Name, NonNegative] = {}  # the newest load values among the backend's responses


class ArrivalTotals(Message):
    """The requests of one kind that reached the proxy since its last report."""

    kind: Name
    requests: Count
    lost: Count = 0  # admitted requests that failed
    # requests that clients marked as retries; None: clients mark none
    repeats: Count | None = None


class LoadReport(Message, tag="sums"):
    """A proxy's attempts and arrivals within `span`."""

    span: Time  # ns
    met: Annotated[list[BackendTotals], Meta(max_length=MAX_LINES)] = []
    came: Annotated[list[ArrivalTotals], Meta(max_length=256)] = []


# ---- to a proxy


class Welcome(Message, tag="welcome"):
    """The first message of a controller."""

    version: Count
    controller: Name
    kinds: list[Name]  # names of the request kinds, in the order that admission levels use


class Line(Message, tag="line"):
    """One line of a table."""

    table: TableId
    backend: Name
    weight: Weight  # 0 removes the line


class Bind(Message, tag="bind"):
    """Binds the proxy to a table and sends it whole, in place of any earlier one."""

    table: TableId
    lines: Annotated[list[tuple[Name, Weight]], Meta(max_length=MAX_LINES)]  # (backend, weight)
    levels: list[tuple[Name, NonNegative, RetryLimit]] = []  # (request kind, admission level, retry limit)
    out: list[Name] = []  # backends of the table that are withdrawn


class Withdrawal(Message, tag="out"):
    """Withdraws a backend from the proxy's lines, or restores it."""

    backend: Name
    out: bool


class Level(Message, tag="level"):
    """The admission level and the retry limit of some request kinds."""

    table: TableId
    kinds: list[Name]  # empty: all
    level: NonNegative
    again: RetryLimit
    wait: Time = 0  # ns that rejected clients are asked to wait; 0: no such request


class Orders(Message, tag="orders"):
    """A controller's orders to one proxy in one step; the proxy applies them in order, atomically."""

    stamp: Time  # the controller's clock at the time of the order
    cost: NonNegative  # cost of the message in lines, its head and its nonce included
    do: Annotated[list[Line | Bind | Withdrawal | Level], Meta(max_length=MAX_LINES)]
    nonce: NonceId | None = None


class Fault(Message, tag="fault"):
    """The error that is sent before the stream is closed."""

    code: Name
    text: Annotated[str, Meta(max_length=512)]
    wait: Time = 0  # ns that the proxy is asked to wait before it reconnects to this controller


FromProxy = Hello | Acknowledgement | LoadReport
ToProxy = Welcome | Orders | Fault

encode = msgspec.msgpack.Encoder().encode
decode_from_proxy = msgspec.msgpack.Decoder(FromProxy).decode
decode_to_proxy = msgspec.msgpack.Decoder(ToProxy).decode
