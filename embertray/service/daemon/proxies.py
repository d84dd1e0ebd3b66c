"""The streams of proxies: from their dial to their end; what is sent on them, and which are cut."""

import contextlib

import anyio

from embertray.common.framing import frame
from embertray.common.net.conn import Conn
from embertray.controller.channel.admission import HANDSHAKE_TIMEOUT_NS
from embertray.controller.channel.send_buffer import SendBuffer
from embertray.controller.stream.exceptions import ProtocolError
from embertray.controller.stream.messages import Fault, Hello, encode
from embertray.controller.stream.session import ControllerSession

from .broken import BROKEN, S


class Stream:
    """A joined proxy's stream."""

    def __init__(self, conn, session):
        self.conn, self.session, self.send_buffer = conn, session, SendBuffer()
        self.hello, self.scope, self.why = session.hello, anyio.CancelScope(), "closed by the peer"
        conn.on_taken = self.send_buffer.taken

    @property
    def name(self):
        return self.hello.proxy

    def cut(self, why, code=None, text=""):
        """Ends the stream; with a code the peer is told, as far as it takes it at once."""
        self.why = why
        if code:
            self.conn.put(frame(encode(Fault(code, text or why))))
            self.send_buffer.sent(0, 0)
        self.scope.cancel()


class Proxies:
    """Of a `host`, a Service: joined streams by name. Tells the frontend who joins, leaves and says what."""

    def __init__(self, host):
        self.host, self.by_name = host, {}

    def send(self, now, name, orders):
        stream = self.by_name.get(name)
        if stream is None:
            return
        data = frame(encode(orders))
        stream.session.sent(orders.nonce)
        stream.send_buffer.sent(now, len(data))
        stream.conn.put(data)
        self.host.counted["messages"] += 1

    def look_after(self, now):
        """Slow proxies are cut, a drain goes on; when to look again, ns or None."""
        if self.host.core.stall_watch.is_steady(now):
            for stream in [s for s in self.by_name.values() if s.send_buffer.overdue_reason(now)]:
                self.end(now, stream, stream.send_buffer.overdue_reason(now))
        count, again = self.host.admission.streams_to_close(now, len(self.by_name))
        for stream in list(self.by_name.values())[:count]:
            self.drop(stream)
            stream.cut("drained", "draining")
        times = [
            max(t, now + S // 4)
            for s in self.by_name.values()
            if (t := s.send_buffer.next_check()) is not None
        ]
        return min([*times, *([again] if again is not None else [])], default=None)

    def end(self, now, stream, why):
        """A stream is cut; its proxy has to stay away for a while."""
        self.host.counted["cuts"] += 1
        self.host.admission.record_cut(now, stream.name)
        self.host.log.warning("proxy cut", proxy=stream.name, why=why)
        self.drop(stream)
        stream.cut(why)

    async def serve(self, raw):
        """One stream, from its dial to its end. No error leaves this method: it ends its own stream only."""
        try:
            await self.stream(Conn(raw), raw)
        except* BROKEN:
            pass
        except* Exception as wrong:
            self.host.faults["internal"] = self.host.faults.get("internal", 0) + 1
            self.host.log.error("a stream's handling failed", exc_info=wrong)

    async def stream(self, conn, raw):
        async with raw:
            verdict = self.host.admission.stream_opened()
            if verdict:
                await self.turn_away(conn, verdict)
                return
            session, first = ControllerSession(self.host.site.zones), []
            try:
                with anyio.move_on_after(HANDSHAKE_TIMEOUT_NS / 1e9):
                    while not first and not session.over:
                        first = session.receive(await conn.read())
            except ProtocolError as wrong:
                await self.refuse(conn, "-", wrong)
                return
            finally:
                self.host.admission.handshake_ended()
            if not first:
                if not session.over:
                    await self.refuse(conn, "-", ProtocolError("hello", "no hello in time"))
                return
            now = self.host.clock.now()
            verdict = self.host.frontend.admit_proxy(now, session.hello.proxy)
            if verdict:
                await self.turn_away(conn, verdict)
                return
            await self.joined(conn, session, first)

    async def joined(self, conn, session, first):
        stream = Stream(conn, session)
        if (
            old := self.by_name.get(stream.name)
        ) is not None:  # it came back before its old stream was seen broken
            self.drop(old)
            old.cut("replaced by a newer stream", "replaced")
        self.by_name[stream.name] = stream
        self.host.counted["joins"] += 1
        conn.put(session.welcome(self.host.me.name, [kind.external_id for kind in self.host.site.kinds]))
        stream.send_buffer.sent(self.host.clock.now(), 0)
        self.host.frontend.proxy_joined(self.host.clock.now(), stream.hello)
        self.host.poke()
        self.host.log.debug("proxy joined", proxy=stream.name, zone=stream.hello.zone)
        try:
            with stream.scope:
                async with anyio.create_task_group() as group:
                    group.start_soon(self.write, stream)
                    self.take(stream, first[1:])
                    while not session.over:
                        self.take(stream, session.receive(await conn.read()))
                    group.cancel_scope.cancel()
        except* ProtocolError as wrong:
            stream.why = str(wrong.exceptions[0])
            self.drop(stream)
            await self.refuse(conn, stream.name, wrong.exceptions[0])
        finally:
            self.drop(stream)
            self.host.log.debug("proxy left", proxy=stream.name, why=stream.why)
        if stream.scope.cancelled_caught:
            await self.last_words(conn)

    async def write(self, stream):
        try:
            await stream.conn.write()
        except BROKEN:
            stream.scope.cancel()

    def take(self, stream, messages):
        now = self.host.clock.now()
        for message in messages:
            if not isinstance(message, Hello):
                self.host.frontend.receive(now, stream.hello, message)
        if messages:
            self.host.poke()

    def drop(self, stream):
        """The module is told once that a proxy has left."""
        if self.by_name.get(stream.name) is stream:
            del self.by_name[stream.name]
            self.host.counted["leaves"] += 1
            self.host.frontend.proxy_left(self.host.clock.now(), stream.name)
            self.host.poke()

    async def refuse(self, conn, name, wrong):
        self.host.counted["refused"] += 1
        self.host.faults[wrong.code] = self.host.faults.get(wrong.code, 0) + 1
        self.host.log.warning("stream refused", proxy=name, code=wrong.code, why=str(wrong))
        conn.put(wrong.fault())
        await self.last_words(conn)

    async def turn_away(self, conn, verdict):
        self.host.faults[verdict.code] = self.host.faults.get(verdict.code, 0) + 1
        conn.put(frame(encode(Fault(verdict.code, verdict.text, verdict.retry_after))))
        await self.last_words(conn)

    async def last_words(self, conn):
        """What is queued is written if the peer takes it at once; then the stream is closed."""
        if conn.midway:
            return
        with anyio.move_on_after(self.host.site.tick / 1e9, shield=True):
            conn.end()
            conn.on_taken = None
            with contextlib.suppress(BROKEN):
                await conn.write()
