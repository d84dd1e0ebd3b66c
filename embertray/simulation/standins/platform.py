"""The platform's discovery on sockets, written from the protocol's page, and what it shares with the
relay.
"""

from urllib.parse import parse_qs

import anyio
import h11
import msgspec

BROKEN = (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)


class HttpSide:
    """The serving side of HTTP on one stream."""

    def __init__(self, stream):
        self.stream, self.state = stream, h11.Connection(h11.SERVER)

    async def request(self):
        """(method, target, body); None when the peer is gone."""
        request, body = None, b""
        while True:
            got = self.state.next_event()
            if got is h11.NEED_DATA:
                try:
                    self.state.receive_data(await self.stream.receive())
                except anyio.EndOfStream:
                    self.state.receive_data(b"")
            elif isinstance(got, h11.Request):
                request = got
            elif isinstance(got, h11.Data):
                body += bytes(got.data)
            elif isinstance(got, h11.EndOfMessage):
                return request.method.decode(), request.target.decode(), body
            else:
                return None

    async def answer(self, body, kind="text/xml", status=200, upto=None):
        """`upto`: no more than so many bytes of the body go out."""
        head = self.state.send(
            h11.Response(
                status_code=status, headers=[("Content-Type", kind), ("Content-Length", str(len(body)))]
            )
        )
        await self.stream.send(
            head + (self.state.send(h11.Data(data=body)) + self.state.send(h11.EndOfMessage()))[:upto]
        )
        if self.state.our_state is h11.DONE and self.state.their_state is h11.DONE:
            self.state.start_next_cycle()


class Party:
    """Something that listens; `open` are its connections' streams."""

    def __init__(self, net):
        self.net, self.address, self.open, self.came = net, None, [], anyio.Event()

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        listener = await self.net.listen("127.0.0.1:0")
        self.address = listener.address
        try:
            async with anyio.create_task_group() as group:
                task_status.started(self.address)
                await listener.serve(self.accept, group)
        finally:
            with anyio.CancelScope(shield=True):
                await listener.aclose()

    async def accept(self, stream):
        self.open.append(stream)
        try:
            await self.serve(HttpSide(stream))
        except (*BROKEN, h11.ProtocolError):
            pass
        finally:
            self.open.remove(stream)
            self.happened()
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    def happened(self):
        self.came.set()
        self.came = anyio.Event()

    async def until(self, what):
        """Waits until `what()` holds, looking again whenever something happened here."""
        while not what():
            await self.came.wait()


class StandinDiscovery(Party):
    """`change` makes a new version; watches that wait are told. While `down` nothing is answered. `mood`: how
    the next answers end, one word each: ok | head (closed after the headers) | half (closed within the body)
    | hold (silent within the body) | last (closed right after it) | slow (a byte at a time). `eager`: watches
    wait for nothing."""

    def __init__(self, net, members=()):
        super().__init__(net)
        self.members, self.log, self.revision, self.down, self.asked = dict(members), [], 1, False, []
        self.mood, self.eager = [], False

    def change(self, ident, **facts):
        self.members[ident] = {"id": ident, "phase": "ready", **self.members.get(ident, {}), **facts}
        self.revision += 1
        self.log.append((self.revision, ident))
        self.happened()

    async def serve(self, side):
        while (call := await side.request()) is not None:
            path, _, query = call[1].partition("?")
            self.asked.append(call[1])
            got = parse_qs(query)
            since = int(got["from"][0]) if "from" in got else None
            if since is not None and not self.eager:
                with anyio.move_on_after(int(got["hold_ms"][0]) / 1e3):
                    await self.until(lambda since=since: self.revision != since)
            if self.down:
                await anyio.sleep_forever()
            if path != "/catalog/members":
                await side.answer(b"", status=404)
                continue
            names = self.members if since is None else {name for version, name in self.log if version > since}
            rows = [self.members[name] for name in names]
            if since is None:
                rows = [row for row in rows if row["phase"] != "gone"]
            body = msgspec.json.encode(
                {"revision": self.revision, "complete": since is None, "members": rows}
            )
            mood = self.mood.pop(0) if self.mood and rows else "ok"
            await side.answer(
                body,
                "application/json",
                upto={"head": 0, "half": len(body) // 2, "hold": len(body) // 2, "slow": 0}.get(mood),
            )
            for byte in body if mood == "slow" else ():
                await side.stream.send(bytes([byte]))
            if mood == "hold":
                await anyio.sleep_forever()
            if mood in ("head", "half", "last"):
                return
