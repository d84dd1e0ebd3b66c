"""Messages between a controller and the inventory: msgpack arrays in the frames of the proxies' protocol.

The tags and the order of the fields are part of the protocol.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from embertray.common.fields import Count, Message, Name, Time

SENDER_CHARACTERS_MAX = 128
ERROR_TEXT_CHARACTERS_MAX = 512
NOMINAL_CAPACITY_MAX = 1e9


class WatchRequest(Message, tag="watch"):
    """Starts a watch, beginning with the changes after an epoch.

    Attributes:
        since: The controller's epoch; 0: none, the complete list is sent first.
        enabled: False ends the watch.
        sender: Name of the controller, for the inventory's records.
    """

    since: Count = 0
    enabled: bool = True
    sender: Annotated[str, Meta(max_length=SENDER_CHARACTERS_MAX)] = ""


class ListRequest(Message, tag="get"):
    """Requests the complete list once."""


class EndpointEntry(Message):
    """One backend of the list.

    Attributes:
        backend: Its name.
        zone: Its zone's name.
        state: Its state; `gone` occurs only in changes.
        started: When it started, ns by the inventory's clock; 0: long ago.
        nominal: Nominal capacity, relative to other backends.
    """

    backend: Name
    zone: Name
    state: Literal["ready", "draining", "gone"] = "ready"
    started: Time = 0
    nominal: Annotated[float, Meta(ge=0, le=NOMINAL_CAPACITY_MAX)] = 1.0


class WatchEvent(Message, tag="news"):
    """Changes since an epoch, or the complete list.

    Attributes:
        epoch: Version of the list after this event.
        since: The epoch that the changes are based on; 0: this is the complete list.
        clock: The inventory's clock when it sent the event, ns.
        entries: The changed entries, or all entries.
    """

    epoch: Count
    since: Count
    clock: Time
    entries: list[EndpointEntry]


class RequestFailed(Message, tag="failed"):
    """The inventory could not answer a request; the controller repeats it later.

    Attributes:
        text: The reason in words.
    """

    text: Annotated[str, Meta(max_length=ERROR_TEXT_CHARACTERS_MAX)] = ""


encode = msgspec.msgpack.Encoder().encode
decode_request = msgspec.msgpack.Decoder(WatchRequest | ListRequest).decode
decode_response = msgspec.msgpack.Decoder(WatchEvent | RequestFailed).decode
