"""HTTP/1.1 calls with h11 over TCP streams.

A CallError says whether the request was sent; the caller decides how to handle the failure.
"""

import socket
import struct
from contextlib import suppress

import anyio
import h11
from anyio.abc import SocketAttribute

from .exceptions import CONNECTION_ERRORS, CallError

NS_PER_SECOND = 1e9
READ_BYTES = 64 << 10  # size of a read, and limit of a response's header
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: enabled, with a timeout of zero


class HttpConnection:
    """One connection: sequential requests, each with a response read at once or as a stream.

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
            net: Has a `dial` method, as TcpNet.
            address: The peer's address.
            timeout: ns.

        Returns:
            An HttpConnection.

        Raises:
            CallError: The connection failed or timed out.
        """
        try:
            with anyio.fail_after(timeout / NS_PER_SECOND):
                return cls(await net.dial(address), address)
        except CONNECTION_ERRORS as error:  # TimeoutError is an OSError
            raise CallError(f"{address}: {error or 'connection timed out'}", False) from None

    async def send_request(self, method, path, timeout, body=b"", content_type=""):
        """Sends a complete request.

        Args:
            method: HTTP method.
            path: Path and query.
            timeout: ns; a peer may keep the connection open and never read.
            body: Bytes.
            content_type: Content type of the body.

        Raises:
            CallError: It was not sent in time; `aclose` drops the rest of it.
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
        """Returns the next h11 event. Raises CallError if the data is invalid or the stream broke."""
        while True:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise CallError(f"invalid HTTP: {error}", True) from None
            if event is not h11.NEED_DATA:
                return event
            self._protocol.receive_data(await self._receive())

    async def _receive(self):
        try:
            return await self._stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            return b""  # tells h11 that the stream has ended
        except CONNECTION_ERRORS as error:
            raise CallError(f"receiving: {type(error).__name__}", True) from None

    async def read_status(self):
        """Returns the status code of the response.

        Raises:
            CallError: No valid response was received.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return event.status_code
            if not isinstance(event, h11.InformationalResponse):
                raise CallError("the connection was closed", True)

    async def read_body_part(self):
        """Returns the next part of the response's body; None at its end.

        Raises:
            CallError: The body is invalid or incomplete.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise CallError("the connection was closed within a response", True)

    async def read_response(self, timeout, max_bytes, transfer_timeout=0):
        """Reads the complete response.

        Args:
            timeout: ns.
            max_bytes: Maximum size of its body.
            transfer_timeout: ns from the first byte of the response; the later of both deadlines applies.

        Returns:
            (status, body).

        Raises:
            CallError: It timed out, is too large or is invalid.
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
                        raise CallError(f"response exceeds {max_bytes} bytes", True)
        except TimeoutError:
            raise CallError("response timed out", True) from None
        return status, bytes(body)

    def start_next(self):
        """Prepares for the next request; returns whether the connection can be reused."""
        if self._protocol.our_state is h11.DONE and self._protocol.their_state is h11.DONE:
            self._protocol.start_next_cycle()
            return True
        return False

    async def aclose(self, reset=False):
        """Closes at once and drops unwritten data.

        Args:
            reset: Whether to reset the connection, which also drops data in the system's send buffer: an
                abandoned request must not arrive later, after newer ones.
        """
        # shielded: in a cancelled scope the transport would first flush its unwritten bytes
        with anyio.CancelScope(shield=True):
            if reset:
                with suppress(OSError, anyio.TypedAttributeLookupError):
                    raw_socket = self._stream.extra(SocketAttribute.raw_socket)
                    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            await self._stream.aclose()
