"""Sends one request to the operators' HTTP, for the command line and for simulated days."""

import anyio
import h11


async def send_request(net, address, method, target):
    """Sends a request on a connection of its own.

    Args:
        net: Has dial, as TcpNet.
        address: The operators' address.
        method: GET or POST.
        target: Path and query.

    Returns:
        (status, body).

    Raises:
        OSError: Nothing listens at the address.
        h11.RemoteProtocolError: The response is malformed.
    """
    connection = h11.Connection(h11.CLIENT)
    status = 0
    body = b""
    async with await net.dial(address) as stream:
        request = h11.Request(method=method, target=target, headers=[("Host", "admin")])
        await stream.send(connection.send(request) + connection.send(h11.EndOfMessage()))
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await _receive(stream))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            else:
                return status, body


async def _receive(stream):
    try:
        return await stream.receive()
    except anyio.EndOfStream:
        return b""  # h11's end-of-stream marker
