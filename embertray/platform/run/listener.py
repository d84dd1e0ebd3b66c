"""Accepts and serves connections to the controller's listening address."""

from contextlib import suppress

import anyio

from embertray.common.net.exceptions import CONNECTION_ERRORS
from embertray.common.net.queued_connection import QueuedConnection
from embertray.common.net.sending import send_within
from embertray.platform.protocol.limits import (
    LINGER_MAX_BYTES,
    LINGER_TIMEOUT_NS,
    NS_PER_S,
    REPLY_TIMEOUT_NS,
    STEP_INTERVAL_NS,
)


class ConnectionListener:
    """Serves peers that connect: collectors and health checks.

    Attributes:
        unjoined: The InboundConnections that have not joined.
        scopes: InboundConnection -> the cancel scope of its task.
    """

    def __init__(self, controller, clock, request_step, log):
        """`controller`: the PlatformController; `request_step()` schedules a step."""
        self.controller = controller
        self.clock = clock
        self.request_step = request_step
        self.log = log
        self.slot_freed = anyio.Event()  # set when a connection is removed from `unjoined`
        self.unjoined = set()
        self.scopes = {}

    async def accept(self, listener, group):
        """Accept connections until cancelled; each is served by a task of `group`."""
        while True:
            if len(self.unjoined) >= self.controller.admission.unjoined_max:
                self.slot_freed = anyio.Event()
                await self.slot_freed.wait()
            if (stream := await listener.accept()) is None:
                # no descriptor is free, or the peer has disconnected: the delay avoids a busy loop in a
                # process that has run out of descriptors
                await anyio.sleep(STEP_INTERVAL_NS / NS_PER_S)
                continue
            connection = self.controller.inbound_connection(self.clock.now())
            self.unjoined.add(connection)
            group.start_soon(self.handle, connection, stream)

    async def handle(self, connection, stream):
        """Serve one connection from its accept to its close. No error leaves this method."""
        try:
            with anyio.CancelScope() as self.scopes[connection]:
                await self.serve(connection, stream)
            if connection.zone is not None:
                self.log.info(
                    "collector disconnected",
                    zone=connection.zone,
                    why=connection.close_reason or "no capacity",
                    invalid_reports=connection.invalid_reports,
                    last_invalid=connection.last_invalid,
                )
        except CONNECTION_ERRORS:
            pass
        except Exception as error:
            # an internal error triggered by a peer must only affect its own connection
            self.log.error("connection handler failed", exc_info=error)
        finally:
            self.release_unjoined(connection)
            self.controller.admission.release(connection)
            del self.scopes[connection]
            with anyio.CancelScope(shield=True):
                await stream.aclose()

    async def serve(self, connection, stream):
        """Read and reply until the connection is to be closed. Raises one of CONNECTION_ERRORS."""
        reader = QueuedConnection(stream)
        while not connection.close_reason:
            data = None
            with anyio.move_on_after(self.time_to_join(connection)):
                data = await reader.read()
            self.received(connection, data)
            if connection.outgoing:
                await self.send(connection, stream)

    def time_to_join(self, connection):
        """Seconds until the join deadline of a peer, or None once it has joined."""
        if connection.zone is not None:
            return None
        return max(0, connection.join_deadline - self.clock.now()) / NS_PER_S

    def received(self, connection, data):
        """Handle received data; None if the join deadline has passed."""
        had_joined = connection.zone is not None
        reports = connection.receive(data) if data is not None else ()
        connection.check_join_deadline(self.clock.now())
        if connection.zone is not None and not had_joined:
            self.joined(connection)
        if reports:
            self.controller.admission.reported(connection)
            self.controller.add_reports(reports)
            self.request_step()

    def joined(self, connection):
        """Admit the new collector, which may evict another one."""
        self.release_unjoined(connection)
        evicted = self.controller.admission.admit(connection)
        if evicted is not None:
            self.scopes[evicted].cancel()

    async def send(self, connection, stream):
        """Write the pending output; before a close, linger so that the last reply arrives."""
        reply = connection.outgoing
        connection.outgoing = b""
        if not await send_within(stream, reply, REPLY_TIMEOUT_NS):
            # a peer that sends requests and never reads would accumulate replies here
            connection.close_reason = connection.close_reason or "peer does not read replies"
        elif connection.close_reason:
            await self.linger(stream)

    @staticmethod
    async def linger(stream):
        """Shut down the sending side and discard input for a short time.

        Closing a socket with unread bytes causes a reset, which can destroy the last reply before the peer
        has read it.
        """
        size = 0
        with suppress(*CONNECTION_ERRORS), anyio.move_on_after(LINGER_TIMEOUT_NS / NS_PER_S):
            await stream.send_eof()
            while size < LINGER_MAX_BYTES:
                size += len(await stream.receive())

    def release_unjoined(self, connection):
        """Remove a connection from `unjoined`, because it has joined or is closed."""
        self.unjoined.discard(connection)
        self.slot_freed.set()
