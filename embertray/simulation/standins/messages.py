"""What clients, proxies and backends say to each other: a request and its end, in the frames of the proxies'
protocol.
"""

import msgspec

from embertray.controller.stream.messages import Message


class Request(Message, tag="req"):
    """`work`: ns of a core of speed 1; `within`: ns until whoever sent it gives up; `attempt`: 1 for the
    first.
    """

    ident: int
    kind: str
    work: int
    within: int
    attempt: int = 1
    sender: str = ""


class RequestEnd(Message, tag="end"):
    """`how`: done | denied | full | error"""

    ident: int
    attempt: int
    how: str
    load: dict[str, float] = {}
    wait: int = 0  # ns that who was denied is asked to stay away


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Request | RequestEnd).decode
