"""The connections at the controller's address, each from its dial to its end, round a platform Port."""
import anyio

from ..net.conn import Conn
from ..net.http import BROKEN
from ..platform.limits import GATHER, LAST_WITHIN, REPLY_WITHIN


class Clients:
    """Who dials us. `post` is the controller's platform.Post, `poke()` is called when reports came."""

    def __init__(self, post, clock, poke, log):
        self.post, self.clock, self.poke, self.log = post, clock, poke, log
        self.room, self.strangers = anyio.Event(), 0

    async def accept(self, listener, group):
        while True:
            if self.strangers >= self.post.strangers_most:
                self.room = anyio.Event()
                await self.room.wait()
            if (stream := await listener.accept()) is None:
                await anyio.sleep(GATHER / 1e9)
                continue
            self.strangers += 1
            group.start_soon(self.client, stream)

    async def client(self, stream):
        """One connection at our address, from its dial to its end. No error leaves this method."""
        port, conn, counted = self.post.port(self.clock.now()), Conn(stream), True
        try:
            while not port.over:
                data = None
                if port.joined is None:
                    with anyio.move_on_after(max(0, port.join_by - self.clock.now()) / 1e9):
                        data = await conn.read()
                else:
                    data = await conn.read()
                if data is not None:
                    found = port.receive(data)
                    if found:
                        self.post.reports(found)
                        self.poke()
                port.late(self.clock.now())
                if counted and (port.joined is not None):
                    counted = self.no_stranger()
                if port.reply:
                    reply, port.reply = port.reply, b""
                    with anyio.move_on_after((LAST_WITHIN if port.over else REPLY_WITHIN) / 1e9):
                        await stream.send(reply)
            if port.joined is not None:
                self.log.info("collector gone", zone=port.joined, why=port.over, spoilt=port.spoilt, last=port.why)
        except BROKEN:
            pass
        except Exception as wrong:          # against a peer that finds a fault of ours: it costs its own connection
            self.log.error("a connection's handling failed", exc_info=wrong)
        finally:
            if counted:
                self.no_stranger()
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    def no_stranger(self):
        self.strangers -= 1
        self.room.set()
        return False
