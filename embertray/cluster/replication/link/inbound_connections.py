"""Connections accepted by a replica: identification of the peer and delivery of its messages.

A peer that sends malformed data, belongs to another cluster, or does not identify itself in time only loses
its own connection. A connection has at most one batch of messages in the replica's event queue, so that no
peer can delay the others.
"""

import anyio

from embertray.cluster.replication.exceptions import ConnectionRejectedError, MalformedMessageError
from embertray.common.framing import FrameDecoder, FrameError

from .connection import CONNECTION_ERRORS, Connection, Overflow

IDENTIFY_TIMEOUT_S = 2  # for the first message of a connection
MAX_UNIDENTIFIED = 256  # connections without a first message; a further one closes the oldest
MAX_QUEUED_MESSAGES = 2  # for a peer that reads slowly: an update and a heartbeat


class InboundConnections:
    """Serves the streams of one listener. Subclasses identify peers and handle their messages.

    Args:
        decode: decode(data) returns a message, or raises MalformedMessageError.
        max_frame: largest accepted frame, bytes.
        traffic: the Traffic to count in.
        log: a structlog logger.

    Attributes:
        by_name: name of a peer -> its Connection.
        unidentified: connections without a first message, oldest first.
    """

    def __init__(self, decode, max_frame, traffic, log):
        self.decode = decode
        self.max_frame = max_frame
        self.traffic = traffic
        self.log = log
        self.by_name = {}
        self.unidentified = {}

    def identify(self, message):
        """Returns the name of the sender of a first message. Raises ConnectionRejectedError."""
        raise NotImplementedError

    async def deliver(self, name, connection, messages):
        """Handles messages; the next ones are read once it returns."""
        raise NotImplementedError

    def on_disconnected(self, name):
        """Called when the current connection of a peer has ended."""

    async def serve(self, stream):
        """Serves a connection until it ends."""
        connection = Connection(stream, self.traffic, MAX_QUEUED_MESSAGES, Overflow.DROP_NEWEST)
        self._register(connection)
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
            self._unregister(connection)

    def close(self, name):
        """Closes the connection of a peer, if there is one."""
        if name in self.by_name:
            self.by_name[name].close()

    def _register(self, connection):
        """Registers a new connection; closes the oldest unidentified one if there are too many.

        Otherwise idle connections could keep others out.
        """
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
        self.close(name)  # an older connection, left over from before the peer reconnected or restarted
        self.by_name[name] = connection
        connection.name = name
        while True:
            await self.deliver(name, connection, messages)
            messages = [self.decode(data) for data in await connection.read(decoder)]

    async def _read_first(self, connection, decoder):
        with anyio.move_on_after(IDENTIFY_TIMEOUT_S):
            return [self.decode(data) for data in await connection.read(decoder)]
        raise ConnectionRejectedError(f"no message received within {IDENTIFY_TIMEOUT_S} s")

    def _unregister(self, connection):
        if self.by_name.get(connection.name) is connection:
            del self.by_name[connection.name]
            self.on_disconnected(connection.name)
