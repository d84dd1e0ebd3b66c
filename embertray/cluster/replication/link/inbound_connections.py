"""Connections that others open to a replica: who they are, and what they send, until they end.

A peer that sends garbage, belongs to another cluster, or sends nothing at first loses its own connection and
costs nobody else anything: a connection may have one batch of messages in the replica's inbox, no more.
"""

import anyio

from embertray.cluster.replication.exceptions import ConnectionRejectedError, MalformedMessageError
from embertray.common.framing import FrameDecoder, FrameError

from .connection import CONNECTION_ERRORS, Connection, Overflow

IDENTIFY_TIMEOUT_S = 2  # until a connection's first message
MAX_UNIDENTIFIED = 256  # connections that have not said who they are; a further one ends the oldest
MAX_QUEUED_MESSAGES = 2  # messages that wait for a peer that reads slowly: an update and a heartbeat


class InboundConnections:
    """Serves the streams of one listener. Subclasses say who is served, and what becomes of messages.

    Args:
        decode: decode(data) returns a message, or raises MalformedMessageError.
        max_frame: bytes of the largest frame that is accepted.
        traffic: the Traffic to count in.
        log: a structlog logger.

    Attributes:
        by_name: name -> its Connection.
        unidentified: connections whose first message has not come, oldest first.
    """

    def __init__(self, decode, max_frame, traffic, log):
        self.decode = decode
        self.max_frame = max_frame
        self.traffic = traffic
        self.log = log
        self.by_name = {}
        self.unidentified = {}

    def identify(self, message):
        """Returns the name of the first message's sender. Raises ConnectionRejectedError."""
        raise NotImplementedError

    async def deliver(self, name, connection, messages):
        """Returns once the messages are handled: the next ones are read then."""
        raise NotImplementedError

    def on_disconnected(self, name):
        """The last connection of a name has ended."""

    async def serve(self, stream):
        """Serves one connection until it ends."""
        connection = Connection(stream, self.traffic, MAX_QUEUED_MESSAGES, Overflow.DROP_NEWEST)
        self._admit(connection)
        try:
            async with stream:
                with connection.scope:
                    async with anyio.create_task_group() as group:
                        group.start_soon(connection.write)
                        await self._read(connection)
        except* CONNECTION_ERRORS:
            pass
        except* (FrameError, MalformedMessageError, ConnectionRejectedError) as errors:
            self.traffic.rejected += 1
            reason = str(errors.exceptions[0])
            self.log.info("inbound connection rejected", peer=connection.name, reason=reason)
        finally:
            self.unidentified.pop(connection, None)
            self._remove(connection)

    def close(self, name):
        """Ends the connection of a name, if there is one."""
        if name in self.by_name:
            self.by_name[name].close()

    def _admit(self, connection):
        """Makes room for a new connection, so that idle ones can't keep others out."""
        if len(self.unidentified) >= MAX_UNIDENTIFIED:
            self.traffic.rejected += 1
            oldest = next(iter(self.unidentified))
            del self.unidentified[oldest]
            oldest.close()
        self.unidentified[connection] = True

    async def _read(self, connection):
        decoder = FrameDecoder(self.max_frame)
        messages = await self._read_first(connection, decoder)
        name = self.identify(messages[0])
        del self.unidentified[connection]
        self.close(name)  # an older connection: the process behind it has restarted
        self.by_name[name] = connection
        connection.name = name
        while True:
            await self.deliver(name, connection, messages)
            messages = [self.decode(data) for data in await connection.read(decoder)]

    async def _read_first(self, connection, decoder):
        with anyio.move_on_after(IDENTIFY_TIMEOUT_S):
            return [self.decode(data) for data in await connection.read(decoder)]
        raise ConnectionRejectedError(f"it said nothing for {IDENTIFY_TIMEOUT_S} s")

    def _remove(self, connection):
        if self.by_name.get(connection.name) is connection:
            del self.by_name[connection.name]
            self.on_disconnected(connection.name)
