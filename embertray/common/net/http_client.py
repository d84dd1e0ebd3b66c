"""HTTP/1.1 calls with h11 over TCP streams.

What a failure means is the caller's business; a CallError says how far the call got.
"""

import socket
import struct
from contextlib import suppress

import anyio
import h11
from anyio.abc import SocketAttribute

from .exceptions import CONNECTION_ERRORS, CallError

NS_PER_SECOND = 1e9
READ_BYTES = 64 << 10  # received at once, and most of a response's head
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for no time


class HttpConnection:
    """One connection: requests one after the other, each with a complete response or one that streams.

    Args:
        stream: The byte stream.
        host: The peer's address, for the Host header.
    """

    def __init__(self, stream, host):
        self._stream = stream
        self._host = host
        self._protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=READ_BYTES)

    @classmethod
    async def dial(cls, net, address, timeout):
        """Connects.

        Args:
            net: Has dial, as TcpNet.
            address: The peer's.
            timeout: ns.

        Returns:
            An HttpConnection.

        Raises:
            CallError: There is no connection in time.
        """
        try:
            with anyio.fail_after(timeout / NS_PER_SECOND):
                return cls(await net.dial(address), address)
        except CONNECTION_ERRORS as error:  # TimeoutError is an OSError
            raise CallError(f"{address}: {error or 'no connection in time'}", False) from None

    async def send_request(self, method, path, timeout, body=b"", content_type=""):
        """Sends a complete request.

        Args:
            method: The method.
            path: Path and query.
            timeout: ns, against a peer that takes nothing and gives no sign.
            body: Bytes.
            content_type: Of the body.

        Raises:
            CallError: It has not gone by then; what is left of it is dropped by `aclose`.
        """
        headers = [("Host", self._host)]
        if body:
            headers += [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        data = self._protocol.send(h11.Request(method=method, target=path, headers=headers))
        if body:
            data += self._protocol.send(h11.Data(data=body))
        data += self._protocol.send(h11.EndOfMessage())
        try:
            with anyio.fail_after(timeout / NS_PER_SECOND):
                await self._stream.send(data)
        except CONNECTION_ERRORS as error:
            raise CallError(f"sending: {type(error).__name__}", False) from None

    async def _next_event(self):
        """Returns h11's next event. Raises CallError: what comes can't be read, or the stream broke."""
        while True:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise CallError(f"no HTTP: {error}", True) from None
            if event is not h11.NEED_DATA:
                return event
            self._protocol.receive_data(await self._receive())

    async def _receive(self):
        try:
            return await self._stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            return b""  # h11's mark of the end
        except CONNECTION_ERRORS as error:
            raise CallError(f"receiving: {type(error).__name__}", True) from None

    async def read_status(self):
        """Returns the response's status.

        Raises:
            CallError: There is none.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return event.status_code
            if not isinstance(event, h11.InformationalResponse):
                raise CallError("the connection was closed", True)

    async def read_body_part(self):
        """Returns some of the response's body; None at its end.

        Raises:
            CallError: It can't be read.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise CallError("the connection was closed within an answer", True)

    async def read_response(self, timeout, max_bytes, transfer_timeout=0):
        """Reads the complete response.

        Args:
            timeout: ns.
            max_bytes: Most bytes of its body.
            transfer_timeout: ns from the response's beginning; the later end of the two holds.

        Returns:
            (status, body).

        Raises:
            CallError: It did not come in time, is too large or can't be read.
        """
        body = bytearray()
        try:
            with anyio.fail_after(timeout / NS_PER_SECOND) as scope:
                status = await self.read_status()
                transfer_end = anyio.current_time() + transfer_timeout / NS_PER_SECOND
                scope.deadline = max(scope.deadline, transfer_end)
                while (part := await self.read_body_part()) is not None:
                    body += part
                    if len(body) > max_bytes:
                        raise CallError(f"an answer over {max_bytes} bytes", True)
        except TimeoutError:
            raise CallError("no answer in time", True) from None
        return status, bytes(body)

    def start_next(self):
        """Makes ready for another request; returns whether the connection can take one."""
        if self._protocol.our_state is h11.DONE and self._protocol.their_state is h11.DONE:
            self._protocol.start_next_cycle()
            return True
        return False

    async def aclose(self, reset=False):
        """Closes at once; what was not written yet is dropped.

        Args:
            reset: What the system still has for the peer is dropped too, as far as it can be: a request that
                is given up must not arrive later, behind newer ones.
        """
        # shielded: in a cancelled scope the transport would be left to its unwritten bytes
        with anyio.CancelScope(shield=True):
            if reset:
                with suppress(OSError, anyio.TypedAttributeLookupError):
                    raw_socket = self._stream.extra(SocketAttribute.raw_socket)
                    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            await self._stream.aclose()
