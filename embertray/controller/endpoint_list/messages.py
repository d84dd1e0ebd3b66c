"""The messages between a controller and the inventory: same frames as the proxies' protocol, msgpack
arrays.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from embertray.common.fields import Count, Message, Name, Time


class WatchRequest(Message, tag="watch"):
    """From now on changes are wanted; those after `since` first. since 0: the whole list."""

    since: Count = 0
    on: bool = True
    sender: Annotated[str, Meta(max_length=128)] = ""  # who asks, for the inventory's own records


class ListRequest(Message, tag="get"):
    """The whole list, once."""


class EndpointEntry(Message):
    """One backend. `started` by the inventory's clock, ns; 0: long ago."""

    backend: Name
    zone: Name
    state: Literal["ready", "draining", "gone"] = "ready"
    started: Time = 0
    nominal: Annotated[float, Meta(ge=0, le=1e9)] = 1.0


class WatchEvent(Message, tag="news"):
    """Changes on top of epoch `since`, or the whole list (since = 0)."""

    epoch: Count
    since: Count
    clock: Time  # the inventory's clock when it sent this
    entries: list[EndpointEntry]


class RequestFailed(Message, tag="failed"):
    """The call could not be answered: ask again later."""

    text: Annotated[str, Meta(max_length=512)] = ""


encode = msgspec.msgpack.Encoder().encode
decode_request = msgspec.msgpack.Decoder(WatchRequest | ListRequest).decode
decode_response = msgspec.msgpack.Decoder(WatchEvent | RequestFailed).decode
