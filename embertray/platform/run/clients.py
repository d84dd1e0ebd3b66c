"""The connections at the controller's address, each from its dial to its end, round a platform Port."""

from contextlib import suppress

import anyio

from embertray.common.net.conn import Conn
from embertray.common.net.http import BROKEN
from embertray.platform.protocol.limits import GATHER, LAST_WITHIN, PART_BYTES, PART_WITHIN, REPLY_WITHIN


class Clients:
    """Who dials us. `post` is the controller's platform.Post, `poke()` is called when reports came."""

    def __init__(self, post, clock, poke, log):
        self.post, self.clock, self.poke, self.log = post, clock, poke, log
        self.space, self.strangers, self.scopes = anyio.Event(), set(), {}  # Ports; and cancel scopes by Port

    async def accept(self, listener, group):
        while True:
            if len(self.strangers) >= self.post.room.strangers_most:
                self.space = anyio.Event()
                await self.space.wait()
            if (stream := await listener.accept()) is None:
                await anyio.sleep(GATHER / 1e9)  # no descriptor, or gone again: not at once, nor never
                continue
            port = self.post.port(self.clock.now())
            self.strangers.add(port)
            group.start_soon(self.client, port, stream)

    async def client(self, port, stream):
        """One connection at our address, from its dial to its end. No error leaves this method."""
        try:
            with anyio.CancelScope() as self.scopes[port]:
                await self.serve(port, stream)
            if port.joined is not None:
                self.log.info(
                    "collector gone",
                    zone=port.joined,
                    why=port.over or "no room",
                    spoilt=port.spoilt,
                    last=port.why,
                )
        except BROKEN:
            pass
        except Exception as wrong:  # against a peer that finds a fault of ours: it costs its own connection
            self.log.error("a connection's handling failed", exc_info=wrong)
        finally:
            self.no_stranger(port)
            self.post.room.left(port)
            del self.scopes[port]
            with anyio.CancelScope(shield=True):
                await stream.aclose()

    async def serve(self, port, stream):
        conn = Conn(stream)
        while not port.over:
            data, stranger = None, port.joined is None
            with anyio.move_on_after(max(0, port.join_by - self.clock.now()) / 1e9 if stranger else None):
                data = await conn.read()
            found = port.receive(data) if data is not None else ()
            port.late(self.clock.now())
            if stranger and port.joined is not None:
                self.no_stranger(port)
                if (go := self.post.room.joined(port)) is not None:
                    self.scopes[go].cancel()
            if found:
                self.post.room.told(port)
                self.post.reports(found)
                self.poke()
            if port.reply:
                reply, port.reply = port.reply, b""
                with anyio.move_on_after((LAST_WITHIN if port.over else REPLY_WITHIN) / 1e9) as sending:
                    await stream.send(reply)
                if sending.cancelled_caught:
                    port.over = (
                        port.over or "takes no replies"
                    )  # against who asks and never reads: they would pile up here
                elif port.over:
                    await self.part(stream)

    @staticmethod
    async def part(stream):
        """Ends our side and reads on for a moment: a close over unread bytes is a reset, which can destroy
        the last reply.
        """
        got = 0
        with suppress(*BROKEN), anyio.move_on_after(PART_WITHIN / 1e9):
            await stream.send_eof()
            while got < PART_BYTES:
                got += len(await stream.receive())

    def no_stranger(self, port):
        self.strangers.discard(port)
        self.space.set()
