"""Messages between clients, proxies and backends: a request and its end, framed as in the proxy protocol."""

import msgspec

from embertray.controller.stream.messages import Message


class Request(Message, tag="req"):
    """One attempt of a request.

    Attributes:
        ident: id that its RequestEnd repeats.
        kind: name of the request kind.
        work: ns on a core of speed 1.
        within: timeout of the sender, ns.
        attempt: number of the attempt, from 1.
        sender: name of the proxy that sends it; empty from clients.
    """

    ident: int
    kind: str
    work: int
    within: int
    attempt: int = 1
    sender: str = ""


class RequestEnd(Message, tag="end"):
    """The end of one attempt.

    Attributes:
        ident: id of the Request.
        attempt: number of the attempt.
        how: outcome: done, denied, full or error.
        load: load values of the backend.
        wait: ns to wait before a retry, if denied.
    """

    ident: int
    attempt: int
    how: str
    load: dict[str, float] = {}
    wait: int = 0


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Request | RequestEnd).decode
