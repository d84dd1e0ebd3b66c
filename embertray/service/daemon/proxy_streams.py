"""The proxies' streams from accept to close: handshake, reads, writes, cuts."""

import contextlib

import anyio

from embertray.common.framing import encode_frame
from embertray.common.net.exceptions import CONNECTION_ERRORS
from embertray.common.net.queued_connection import QueuedConnection
from embertray.controller.channel.admission import HANDSHAKE_TIMEOUT_NS
from embertray.controller.stream.exceptions import ProtocolError
from embertray.controller.stream.messages import Fault, Hello, encode
from embertray.controller.stream.session import ControllerSession

from .proxy_stream import ProxyStream

NS_PER_SECOND = 10**9
CHECK_PERIOD_MIN_NS = NS_PER_SECOND // 4  # between two checks of a stream's send buffer
UNKNOWN_PROXY = "-"  # in the log, of a stream that ended before its hello


class ProxyStreams:
    """The streams of a Service. The frontend is notified of joins, leaves and received messages.

    Args:
        service: The Service.

    Attributes:
        by_name: Name -> ProxyStream of the proxies that have joined.
    """

    def __init__(self, service):
        self.by_name = {}
        self._service = service

    # ---- joined proxies

    def send(self, now, name, orders):
        """Sends Orders to a proxy at `now` (ns), if it is still joined."""
        stream = self.by_name.get(name)
        if stream is None:
            return
        data = encode_frame(encode(orders))
        stream.session.sent(orders.nonce)
        stream.send_buffer.message_queued(now, len(data))
        stream.conn.put(data)
        self._service.counters.messages += 1

    def check(self, now):
        """Cuts proxies that do not read, and closes the streams that a graceful shutdown has reached.

        Args:
            now: ns.

        Returns:
            When to check again, ns; None: not before the next event.
        """
        self._cut_slow_readers(now)
        close_at = self._close_drained(now)
        checks = (stream.send_buffer.next_check() for stream in self.by_name.values())
        times = [max(check, now + CHECK_PERIOD_MIN_NS) for check in checks if check is not None]
        if close_at is not None:
            times.append(close_at)
        return min(times, default=None)

    def _cut_slow_readers(self, now):
        """Cuts proxies whose transport takes nothing: their send buffers would grow without limit.

        Does so only if this process itself has not stalled: after a stall the proxies may have had no chance
        to read.
        """
        if not self._service.core.stall_watch.check_steady(now):
            return
        for stream in list(self.by_name.values()):
            reason = stream.send_buffer.overdue_reason(now)
            if reason:
                self.cut(now, stream, reason)

    def _close_drained(self, now):
        count, close_at = self._service.admission.streams_to_close(now, len(self.by_name))
        for stream in list(self.by_name.values())[:count]:
            self._remove(stream)
            stream.cut("drained", "draining")
        return close_at

    def cut(self, now, stream, reason):
        """Cuts a ProxyStream at `now` (ns); its proxy has to stay away for a while."""
        self._service.counters.cuts += 1
        self._service.admission.record_cut(now, stream.name)
        self._service.log.warning("proxy cut", proxy=stream.name, why=reason)
        self._remove(stream)
        stream.cut(reason)

    def _remove(self, stream):
        """Notifies the frontend, once, that a proxy has left."""
        if self.by_name.get(stream.name) is stream:
            del self.by_name[stream.name]
            self._service.counters.leaves += 1
            self._service.frontend.proxy_left(self._service.clock.now(), stream.name)
            self._service.wake()

    # ---- life of one stream

    async def serve(self, raw_stream):
        """Serves one stream from accept to close.

        No error leaves this method, since the listener's task group would then cancel all other streams.
        Malformed data, or a fault in handling it, ends this stream only.
        """
        try:
            await self._serve(QueuedConnection(raw_stream), raw_stream)
        except* CONNECTION_ERRORS:
            pass
        except* Exception as errors:
            self._service.count_fault("internal")
            self._service.log.error("unhandled error in a stream", exc_info=errors)

    async def _serve(self, conn, raw_stream):
        async with raw_stream:
            rejection = self._service.admission.stream_opened()
            if rejection:
                await self._reject(conn, rejection)
                return
            session = ControllerSession(self._service.site.zones)
            try:
                messages = await self._handshake(conn, session)
            except ProtocolError as error:
                await self._refuse(conn, UNKNOWN_PROXY, error)
                return
            finally:
                self._service.admission.handshake_ended()
            if not messages:
                if not session.ended:
                    await self._refuse(conn, UNKNOWN_PROXY, ProtocolError("hello", "no hello in time"))
                return
            rejection = self._service.frontend.admit_proxy(self._service.clock.now(), session.hello.proxy)
            if rejection:
                await self._reject(conn, rejection)
                return
            await self._serve_joined(ProxyStream(conn, session), messages[1:])

    async def _handshake(self, conn, session):
        """Reads until the Hello.

        Returns:
            The messages, the Hello first; none if the peer closed or sent no Hello in time.

        Raises:
            ProtocolError: The peer violated the protocol.
        """
        messages = []
        with anyio.move_on_after(HANDSHAKE_TIMEOUT_NS / NS_PER_SECOND):
            while not messages and not session.ended:
                messages = session.receive(await conn.read())
        return messages

    async def _serve_joined(self, stream, messages):
        """Serves a proxy from its join to its end; `messages` came with its Hello."""
        self._join(stream)
        try:
            with stream.scope:
                async with anyio.create_task_group() as group:
                    group.start_soon(self._write, stream)
                    self._receive(stream, messages)
                    while not stream.session.ended:
                        self._receive(stream, stream.session.receive(await stream.conn.read()))
                    group.cancel_scope.cancel()
        except* ProtocolError as errors:
            error = errors.exceptions[0]
            stream.end_reason = str(error)
            self._remove(stream)
            await self._refuse(stream.conn, stream.name, error)
        finally:
            self._remove(stream)
            self._service.log.debug("proxy left", proxy=stream.name, why=stream.end_reason)
        if stream.scope.cancelled_caught:
            await self._flush(stream.conn)

    def _join(self, stream):
        service = self._service
        self._replace_previous(stream.name)
        self.by_name[stream.name] = stream
        service.counters.joins += 1
        stream.conn.put(
            stream.session.welcome(service.me.name, [kind.external_id for kind in service.site.kinds])
        )
        stream.send_buffer.message_queued(service.clock.now(), 0)
        service.frontend.proxy_joined(service.clock.now(), stream.hello)
        service.wake()
        service.log.debug("proxy joined", proxy=stream.name, zone=stream.hello.zone)

    def _replace_previous(self, name):
        """Cuts the previous stream of a proxy that came back before that stream was detected as broken."""
        previous = self.by_name.get(name)
        if previous is not None:
            self._remove(previous)
            previous.cut("replaced by a newer stream", "replaced")

    async def _write(self, stream):
        try:
            await stream.conn.write()
        except CONNECTION_ERRORS:
            stream.scope.cancel()

    def _receive(self, stream, messages):
        now = self._service.clock.now()
        for message in messages:
            if not isinstance(message, Hello):
                self._service.frontend.receive(now, stream.hello, message)
        if messages:
            self._service.wake()

    # ---- closing a stream

    async def _refuse(self, conn, name, error):
        """Ends a stream whose peer violated the protocol, after sending it one Fault."""
        self._service.counters.refused += 1
        self._service.count_fault(error.code)
        self._service.log.warning("stream refused", proxy=name, code=error.code, why=str(error))
        conn.put(error.fault())
        await self._flush(conn)

    async def _reject(self, conn, rejection):
        """Ends a stream that is not admitted, after sending the peer how long to stay away."""
        self._service.count_fault(rejection.code)
        conn.put(encode_frame(encode(Fault(rejection.code, rejection.text, rejection.retry_after))))
        await self._flush(conn)

    async def _flush(self, conn):
        """Writes the queued data, as far as the peer takes it within a tick, before the stream is closed.

        Writes nothing after an incomplete frame, since the peer would read the Fault as a part of that frame.
        """
        if conn.mid_send:
            return
        with anyio.move_on_after(self._service.site.tick / NS_PER_SECOND, shield=True):
            conn.finish()
            conn.on_sent = None
            with contextlib.suppress(CONNECTION_ERRORS):
                await conn.write()
