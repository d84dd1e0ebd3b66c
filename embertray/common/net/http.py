"""HTTP/1.1 calls by h11 over TCP streams. What a failure means is the caller's business; here is only how far
it got.
"""

import socket
import struct
from contextlib import suppress

import anyio
import h11
from anyio.abc import SocketAttribute

BROKEN = (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)
READ = 64 << 10  # bytes read at once


class CallFailed(Exception):
    """`sent`: the request's last byte had gone."""

    def __init__(self, why, sent):
        super().__init__(why)
        self.sent = sent


class Talk:
    """One connection: requests one after the other, each with a whole answer or one that streams."""

    def __init__(self, stream, host):
        self.stream, self.host, self.state = (
            stream,
            host,
            h11.Connection(h11.CLIENT, max_incomplete_event_size=READ),
        )

    @classmethod
    async def dial(cls, net, address, within):
        """Raises CallFailed. `within`: ns."""
        try:
            with anyio.fail_after(within / 1e9):
                return cls(await net.dial(address), address)
        except BROKEN as wrong:  # TimeoutError is an OSError
            raise CallFailed(f"{address}: {wrong or 'no connection in time'}", False) from None

    async def ask(self, method, path, within, body=b"", kind=""):
        """Sends a request whole, `within` ns. Raises CallFailed; what has not gone by then is to be dropped
        by `aclose`.
        """
        headers = [("Host", self.host)]
        if body:
            headers += [("Content-Type", kind), ("Content-Length", str(len(body)))]
        data = self.state.send(h11.Request(method=method, target=path, headers=headers))
        data += (self.state.send(h11.Data(data=body)) if body else b"") + self.state.send(h11.EndOfMessage())
        try:
            with anyio.fail_after(within / 1e9):  # against a peer that takes nothing and gives no sign
                await self.stream.send(data)
        except BROKEN as wrong:
            raise CallFailed(f"sending: {type(wrong).__name__}", False) from None

    async def event(self):
        """h11's next event. Raises CallFailed: what comes can't be read, or the stream broke."""
        while True:
            try:
                got = self.state.next_event()
            except h11.RemoteProtocolError as wrong:
                raise CallFailed(f"no HTTP: {wrong}", True) from None
            if got is not h11.NEED_DATA:
                return got
            try:
                data = await self.stream.receive(READ)
            except anyio.EndOfStream:
                data = b""
            except BROKEN as wrong:
                raise CallFailed(f"receiving: {type(wrong).__name__}", True) from None
            self.state.receive_data(data)

    async def begin(self):
        """The answer's status. Raises CallFailed."""
        while True:
            got = await self.event()
            if isinstance(got, h11.Response):
                return got.status_code
            if not isinstance(got, h11.InformationalResponse):
                raise CallFailed("the connection was closed", True)

    async def data(self):
        """Some of the answer's body; None at its end. Raises CallFailed."""
        got = await self.event()
        if isinstance(got, h11.Data):
            return bytes(got.data)
        if isinstance(got, h11.EndOfMessage):
            return None
        raise CallFailed("the connection was closed within an answer", True)

    async def answer(self, within, most, whole=0):
        """(status, body) of the whole answer. Raises CallFailed; `within` ns, or `whole` ns from its
        beginning if that is later, `most` bytes."""
        body = bytearray()
        try:
            with anyio.fail_after(within / 1e9) as limit:
                status = await self.begin()
                limit.deadline = max(limit.deadline, anyio.current_time() + whole / 1e9)
                while (part := await self.data()) is not None:
                    body += part
                    if len(body) > most:
                        raise CallFailed(f"an answer over {most} bytes", True)
        except TimeoutError:
            raise CallFailed("no answer in time", True) from None
        return status, bytes(body)

    def again(self):
        """True if the connection can take another request."""
        if self.state.our_state is h11.DONE and self.state.their_state is h11.DONE:
            self.state.start_next_cycle()
            return True
        return False

    async def aclose(self, reset=False):
        """Closes at once; what was not written yet is dropped. `reset`: so is what the system still holds for
        the peer, as far as it can be: a request that is given up must not arrive later, behind newer ones."""
        with anyio.CancelScope(shield=True):
            if reset:
                with suppress(OSError, anyio.TypedAttributeLookupError):
                    self.stream.extra(SocketAttribute.raw_socket).setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                    )
            await (
                self.stream.aclose()
            )  # not in a cancelled scope: that one leaves the transport to its unwritten bytes
