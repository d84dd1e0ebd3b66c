"""The messages between a controller and the inventory: same frames as the proxies' protocol, msgpack
arrays.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from embertray.common.fields import Count, Message, Name, Time


class Watch(Message, tag="watch"):
    """From now on changes are wanted; those after `since` first. since 0: the whole list."""

    since: Count = 0
    on: bool = True
    sender: Annotated[str, Meta(max_length=128)] = ""  # who asks, for the inventory's own records


class Get(Message, tag="get"):
    """The whole list, once."""


class Listed(Message):
    """One backend. `started` by the inventory's clock, ns; 0: long ago."""

    backend: Name
    zone: Name
    state: Literal["ready", "draining", "gone"] = "ready"
    started: Time = 0
    nominal: Annotated[float, Meta(ge=0, le=1e9)] = 1.0


class News(Message, tag="news"):
    """Changes on top of epoch `since`, or the whole list (since = 0)."""

    epoch: Count
    since: Count
    clock: Time  # the inventory's clock when it sent this
    entries: list[Listed]


class Failed(Message, tag="failed"):
    """The call could not be answered: ask again later."""

    text: Annotated[str, Meta(max_length=512)] = ""


encode = msgspec.msgpack.Encoder().encode
read_ask = msgspec.msgpack.Decoder(Watch | Get).decode
read_answer = msgspec.msgpack.Decoder(News | Failed).decode
