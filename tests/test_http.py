"""Tests of abandoned HTTP calls on loopback: their timeouts, and that they do not arrive later."""

import os
import socket
import unittest

import anyio

from embertray.common.net.exceptions import CallError
from embertray.common.net.http_client import HttpConnection
from embertray.common.net.tcp import TcpNet

MS = 10**6
BODY = b"x" * (16 << 20)  # more than fits into the socket buffers of a peer that does not read


def unread_listener():
    """Return a listening socket with a small receive buffer, whose connections are not read."""
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listening.bind(("127.0.0.1", 0))
    listening.listen()
    return listening


def read_to_end(listening):
    """Accept and read the next connection: (number of bytes, whether it was reset)."""
    peer, _ = listening.accept()
    received = 0
    with peer:
        peer.settimeout(10)
        try:
            while data := peer.recv(1 << 20):
                received += len(data)
        except ConnectionResetError:
            return received, True
    return received, False


class AbandonedCalls(unittest.TestCase):
    def run_scenario(self, body, reset, timeout=50 * MS):
        """Call a peer that does not read, abandon the call, then let the peer read.

        Returns (error of the call, descriptors closed, bytes read by the peer, whether it saw a reset).
        """

        async def scenario():
            with unread_listener() as listening:
                connection = await HttpConnection.dial(
                    TcpNet(), f"127.0.0.1:{listening.getsockname()[1]}", 1000 * MS
                )
                failed, before = None, len(os.listdir("/proc/self/fd"))
                with anyio.fail_after(20):
                    try:
                        await connection.send_request("POST", "/api/", timeout, body, "text/plain")
                        await connection.read_response(timeout, 100)
                    except CallError as error:
                        failed = error
                    await connection.aclose(reset)
                    await anyio.sleep(
                        0
                    )  # an aborted transport closes its socket in the next iteration of the event loop
                    after = len(os.listdir("/proc/self/fd"))
                    return failed, before - after, *await anyio.to_thread.run_sync(read_to_end, listening)

        return anyio.run(scenario)

    def test_a_request_that_is_not_read_times_out_and_never_arrives_completely(self):
        failed, closed, received, _ = self.run_scenario(BODY, False)
        self.assertFalse(failed.sent)
        self.assertEqual(closed, 1)
        self.assertLess(received, len(BODY))

    def test_an_abandoned_request_is_reset_and_does_not_arrive_later(self):
        body = b"x" * 60_000  # fits into the local send buffer, but not into the peer's window
        failed, closed, received, reset = self.run_scenario(body, True)
        self.assertTrue(failed.sent)
        self.assertEqual((closed, reset), (1, True))
        self.assertLess(received, len(body))


if __name__ == "__main__":
    unittest.main()
