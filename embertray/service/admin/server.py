"""Serves one HTTP/1.1 request per connection with h11, within limits of size and time."""

import inspect
from contextlib import suppress
from typing import NamedTuple

import anyio
import h11
import msgspec

from embertray.common.net.exceptions import CONNECTION_ERRORS

BODY_MAX_BYTES = 4096  # of a request's head, and of its body unless the server says so
TIMEOUT_S = 5  # for reading the request, and for writing the response

JSON = "application/json"
PLAIN = "text/plain"
PLAIN_UTF8 = "text/plain; charset=utf-8"
BAD_REQUEST = 400


class Response(NamedTuple):
    """An HTTP response.

    Attributes:
        status: The status code.
        content_type: Value of its Content-Type header.
        body: Bytes.
    """

    status: int
    content_type: str
    body: bytes


def text(body, status=200):
    """Returns a Response in plain text."""
    return Response(status, PLAIN_UTF8, body.encode())


def json_response(content):
    """Returns a Response with a JSON document."""
    return Response(200, JSON, msgspec.json.encode(content) + b"\n")


async def serve_request(stream, answer, body_max=BODY_MAX_BYTES):
    """Answers one request and closes the stream.

    A malformed request gets status 400 and one line. A connection whose peer closes or hangs is closed
    without a response, at the latest after TIMEOUT_S for each direction.

    Args:
        stream: The byte stream.
        answer: A function (request, body) -> Response, or a coroutine function of that kind.
        body_max: Largest accepted request body, bytes.
    """
    connection = h11.Connection(h11.SERVER, max_incomplete_event_size=BODY_MAX_BYTES)
    async with stream:
        try:
            await _answer_request(connection, stream, answer, body_max)
        except h11.RemoteProtocolError as error:
            await _send_bad_request(connection, stream, error)
        except CONNECTION_ERRORS:
            pass  # the peer is gone


async def _answer_request(connection, stream, answer, body_max):
    request = None
    with anyio.move_on_after(TIMEOUT_S):
        request = await _read_request(connection, stream, body_max)
    if not request:
        return
    response = answer(*request)
    if inspect.isawaitable(response):
        response = await response
    with anyio.move_on_after(TIMEOUT_S):
        await _send_response(connection, stream, Response(*response))


async def _read_request(connection, stream, body_max):
    """Reads a request.

    Returns:
        (h11.Request, body), or None if the connection ends first.

    Raises:
        h11.RemoteProtocolError: It is malformed or too large.
    """
    request = None
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await _receive(stream))
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > body_max:
                raise h11.RemoteProtocolError(f"a body of over {body_max} bytes")
        elif isinstance(event, h11.EndOfMessage):
            return request, bytes(body)
        else:
            return None


async def _receive(stream):
    try:
        return await stream.receive()
    except anyio.EndOfStream:
        return b""  # h11's end-of-stream marker


async def _send_bad_request(connection, stream, error):
    """Sends status 400 with the error, if the peer still reads."""
    with suppress(*CONNECTION_ERRORS), anyio.move_on_after(TIMEOUT_S):
        await _send_response(connection, stream, Response(BAD_REQUEST, PLAIN, f"{error}\n".encode()))


async def _send_response(connection, stream, response):
    """Sends a complete Response, unless one was already begun."""
    if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    headers = [
        ("Content-Type", response.content_type),
        ("Content-Length", str(len(response.body))),
        ("Connection", "close"),
    ]
    data = connection.send(h11.Response(status_code=response.status, headers=headers))
    data += connection.send(h11.Data(data=response.body))
    data += connection.send(h11.EndOfMessage()) or b""
    await stream.send(data)
