"""The other end of the operators' HTTP: one request, for the command line and for days."""

import anyio
import h11


async def ask(net, address, method, target):
    """(status, body) of one request. Raises OSError when nobody listens, h11.RemoteProtocolError on a bad
    answer.
    """
    conn, body, status = h11.Connection(h11.CLIENT), b"", 0
    async with await net.dial(address) as stream:
        await stream.send(
            conn.send(h11.Request(method=method, target=target, headers=[("Host", "admin")]))
            + conn.send(h11.EndOfMessage())
        )
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                try:
                    conn.receive_data(await stream.receive())
                except anyio.EndOfStream:
                    conn.receive_data(b"")
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            else:
                return status, body
