"""Sending with a timeout that only covers the time the peer takes."""

import asyncio

import anyio

NS_PER_SECOND = 1e9


async def send_within(stream, data, timeout):
    """Send bytes with a timeout that starts only after the first write.

    A stream's `send` yields to the event loop before it writes. In a process without CPU time, a timeout that
    starts earlier could expire during this yield, before anything is written. So the timeout starts one
    iteration of the event loop after the write.

    Args:
        stream: The byte stream.
        data: Bytes.
        timeout: ns.

    Returns:
        Whether all bytes were sent in time.

    Raises:
        OSError: The stream broke; or another one of CONNECTION_ERRORS.
    """
    loop = asyncio.get_running_loop()
    with anyio.CancelScope() as scope:

        def start_timeout():
            scope.deadline = loop.time() + timeout / NS_PER_SECOND

        loop.call_soon(loop.call_soon, start_timeout)
        await stream.send(data)
    return not scope.cancelled_caught
