"""Messages between a controller and the inventory: msgpack arrays in the frames of the proxies' protocol.

The tags and the order of the fields are the wire's.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from embertray.common.fields import Count, Message, Name, Time

SENDER_CHARACTERS_MAX = 128
ERROR_TEXT_CHARACTERS_MAX = 512
NOMINAL_CAPACITY_MAX = 1e9


class WatchRequest(Message, tag="watch"):
    """Asks for watch events from now on, beginning with the changes after an epoch.

    Attributes:
        since: The epoch that the controller has; 0: none, the complete list is wanted first.
        enabled: False ends the watch.
        sender: Who asks, for the inventory's own records.
    """

    since: Count = 0
    enabled: bool = True
    sender: Annotated[str, Meta(max_length=SENDER_CHARACTERS_MAX)] = ""


class ListRequest(Message, tag="get"):
    """Asks for the complete list, once."""


class EndpointEntry(Message):
    """One backend.

    Attributes:
        backend: Its name.
        zone: Its zone.
        state: `gone` only in changes.
        started: When it started, ns by the inventory's clock; 0: long ago.
        nominal: Nominal capacity, relative to other backends.
    """

    backend: Name
    zone: Name
    state: Literal["ready", "draining", "gone"] = "ready"
    started: Time = 0
    nominal: Annotated[float, Meta(ge=0, le=NOMINAL_CAPACITY_MAX)] = 1.0


class WatchEvent(Message, tag="news"):
    """Changes on top of an epoch, or the complete list.

    Attributes:
        epoch: Version of the list after this event.
        since: The epoch that the changes are on top of; 0: this is the complete list.
        clock: The inventory's clock when it sent this, ns.
        entries: What changed, or all backends.
    """

    epoch: Count
    since: Count
    clock: Time
    entries: list[EndpointEntry]


class RequestFailed(Message, tag="failed"):
    """The inventory could not answer a request; it is to be repeated later.

    Attributes:
        text: Why, in words.
    """

    text: Annotated[str, Meta(max_length=ERROR_TEXT_CHARACTERS_MAX)] = ""


encode = msgspec.msgpack.Encoder().encode
decode_request = msgspec.msgpack.Decoder(WatchRequest | ListRequest).decode
decode_response = msgspec.msgpack.Decoder(WatchEvent | RequestFailed).decode
