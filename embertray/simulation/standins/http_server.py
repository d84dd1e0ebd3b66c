"""A small HTTP/1.1 server over streams, shared by the stand-ins of the platform's services."""

import anyio
import h11

from .link import STREAM_ERRORS

LISTEN_ADDRESS = "127.0.0.1:0"


class HttpConnection:
    """The server's side of one HTTP connection.

    Attributes:
        stream: the byte stream.
        state: h11's state of the connection.
    """

    def __init__(self, stream):
        self.stream = stream
        self.state = h11.Connection(h11.SERVER)

    async def request(self):
        """Reads the next request.

        Returns:
            (method, target, body); None when the client is gone.
        """
        request = None
        body = b""
        while True:
            event = self.state.next_event()
            if event is h11.NEED_DATA:
                await self._receive()
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return request.method.decode(), request.target.decode(), body
            else:
                return None

    async def _receive(self):
        try:
            self.state.receive_data(await self.stream.receive())
        except anyio.EndOfStream:
            self.state.receive_data(b"")

    async def answer(self, body, content_type="text/xml", status=200, body_bytes_max=None):
        """Sends a response.

        Args:
            body: the whole body; its length is announced even if less is sent.
            content_type: value of the Content-Type header.
            status: HTTP status code.
            body_bytes_max: send no more than this many bytes of the body; None sends all.
        """
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        head = self.state.send(h11.Response(status_code=status, headers=headers))
        payload = self.state.send(h11.Data(data=body)) + self.state.send(h11.EndOfMessage())
        await self.stream.send(head + payload[:body_bytes_max])
        if self.state.our_state is h11.DONE and self.state.their_state is h11.DONE:
            self.state.start_next_cycle()

    async def send_slowly(self, body):
        """Sends the rest of a body one byte at a time.

        Args:
            body: bytes that `answer` announced and left out.
        """
        for byte in body:
            await self.stream.send(bytes([byte]))


class HttpServer:
    """Listens on loopback and serves each connection by `serve`, which subclasses define.

    Attributes:
        address: where it listens, once it runs.
        connections: the open streams, in the order in which they were accepted.
    """

    def __init__(self, net):
        self.net = net
        self.address = None
        self.connections = []
        self.changed_event = anyio.Event()

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Listens and serves until cancelled.

        Args:
            task_status: told the address once it listens.
        """
        listener = await self.net.listen(LISTEN_ADDRESS)
        self.address = listener.address
        try:
            async with anyio.create_task_group() as group:
                task_status.started(self.address)
                await listener.serve(self.accept, group)
        finally:
            with anyio.CancelScope(shield=True):
                await listener.aclose()

    async def accept(self, stream):
        """Serves one connection to its end; its errors do not affect others.

        Args:
            stream: the accepted byte stream.
        """
        self.connections.append(stream)
        try:
            await self.serve(HttpConnection(stream))
        except (*STREAM_ERRORS, h11.ProtocolError):
            pass
        finally:
            self.connections.remove(stream)
            self.notify_changed()
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    async def serve(self, connection):
        """Answers the requests of one connection.

        Args:
            connection: an HttpConnection.
        """
        raise NotImplementedError

    def notify_changed(self):
        """Wakes all tasks that wait in `wait_until`."""
        self.changed_event.set()
        self.changed_event = anyio.Event()

    async def wait_until(self, condition):
        """Waits until a condition holds; it is checked again after each change of this server.

        Args:
            condition: called without arguments, returns whether to go on.
        """
        while not condition():
            await self.changed_event.wait()
