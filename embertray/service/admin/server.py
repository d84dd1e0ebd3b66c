"""One HTTP/1.1 request a connection, by h11: read with limits, answered, closed."""

import inspect

import anyio
import h11

BODY, HEAD_WITHIN = 4096, 5  # bytes, s: no request is larger or takes longer, unless its server says so


async def serve_request(stream, answer, body_most=BODY):
    """Answers one request by answer(request, body) -> (status, content type, body), which may be a coroutine.
    A malformed one gets 400 and one line."""
    conn = h11.Connection(h11.SERVER, max_incomplete_event_size=BODY)
    async with stream:
        try:
            found = None
            with anyio.move_on_after(HEAD_WITHIN):
                found = await read_request(conn, stream, body_most)
            if found:
                said = answer(*found)
                if inspect.isawaitable(said):
                    said = await said
                with anyio.move_on_after(HEAD_WITHIN):
                    await reply(conn, stream, *said)
        except h11.RemoteProtocolError as wrong:
            await refuse(conn, stream, wrong)
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass


async def read_request(conn, stream, body_most):
    """(h11.Request, body), or None if the connection ends before. Raises h11.RemoteProtocolError."""
    request, body = None, bytearray()
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            try:
                data = await stream.receive()
            except anyio.EndOfStream:
                data = b""
            conn.receive_data(data)
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > body_most:
                raise h11.RemoteProtocolError(f"a body of over {body_most} bytes")
        elif isinstance(event, h11.EndOfMessage):
            return request, bytes(body)
        else:
            return None


async def refuse(conn, stream, wrong):
    """Says what is wrong with a request, if it can still be said."""
    try:
        with anyio.move_on_after(HEAD_WITHIN):
            await reply(conn, stream, 400, "text/plain", f"{wrong}\n".encode())
    except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
        pass


async def reply(conn, stream, status, kind, body):
    """Sends a whole answer, unless one was begun."""
    if conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    data = conn.send(
        h11.Response(
            status_code=status,
            headers=[("Content-Type", kind), ("Content-Length", str(len(body))), ("Connection", "close")],
        )
    )
    await stream.send(data + conn.send(h11.Data(data=body)) + (conn.send(h11.EndOfMessage()) or b""))


def text(body, status=200):
    """A plain answer."""
    return status, "text/plain; charset=utf-8", body.encode()
