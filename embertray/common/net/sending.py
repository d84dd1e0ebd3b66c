"""Sending under a time limit that bounds the peer alone."""

import asyncio

import anyio

NS_PER_SECOND = 1e9


async def send_within(stream, data, timeout):
    """Hand bytes to the system at once; the limit bounds only what the peer does not take.

    A stream's `send` gives the loop a turn before it writes. A limit that began before it might end in that
    turn, in a process that gets no processor time, and nothing would be written. So the limit begins one turn
    after the write.

    Args:
        stream: The byte stream.
        data: Bytes.
        timeout: ns.

    Returns:
        Whether the peer took all of it in time.

    Raises:
        OSError: The stream broke; so for anyio's errors of a stream (CONNECTION_ERRORS).
    """
    loop = asyncio.get_running_loop()
    with anyio.CancelScope() as scope:

        def start_timeout():
            scope.deadline = loop.time() + timeout / NS_PER_SECOND

        loop.call_soon(loop.call_soon, start_timeout)
        await stream.send(data)
    return not scope.cancelled_caught
