"""Connections that others open to a replica: who they are, and what they say, until they end.

Whoever sends what can't be read, is a stranger, or says nothing at first, loses its own connection and costs
nobody else anything: a connection may hold one batch of messages in the replica's inbox, no more.
"""

import anyio

from embertray.cluster.replication.messages import MalformedMessage
from embertray.common.framing import BadFrame, Splitter

from .connection import BROKEN, Connection, Overflow

IDENTIFY_WITHIN = 2  # s until a connection's first message
UNIDENTIFIED_MOST = 256  # connections that have not said who they are; a further one ends the oldest
QUEUED_MOST = 2  # messages that wait for a peer that reads slowly: an update and a heartbeat


class ConnectionRejected(Exception):
    """A connection that is not served, and why."""


class Inbound:
    """Serves the streams of one listener. `decode(data)` raises MalformedMessage; `identify(message)` names the
    sender or raises ConnectionRejected; `deliver(name, connection, messages)` waits until they are handled;
    `ended(name)` is called when the last connection of a name has ended."""

    def __init__(self, decode, identify, deliver, ended, frame_most, traffic, log):
        self.decode, self.identify, self.deliver, self.ended = decode, identify, deliver, ended
        self.frame_most, self.traffic, self.log = frame_most, traffic, log
        self.by_name, self.unidentified = {}, {}

    async def serve(self, stream):
        """One connection, to its end."""
        connection = Connection(stream, self.traffic, QUEUED_MOST, Overflow.DROP_NEWEST)
        self._admit(connection)
        try:
            async with stream:
                with connection.scope:
                    async with anyio.create_task_group() as group:
                        group.start_soon(connection.write)
                        await self._read(connection)
        except* BROKEN:
            pass
        except* (BadFrame, MalformedMessage, ConnectionRejected) as wrong:
            self.traffic.rejected += 1
            self.log.info("a connection is ended", why=str(wrong.exceptions[0]))
        finally:
            self.unidentified.pop(connection, None)
            self._forget(connection)

    def close(self, name):
        """Ends the connection of a name, if there is one."""
        if name in self.by_name:
            self.by_name[name].close()

    def _admit(self, connection):
        if len(self.unidentified) >= UNIDENTIFIED_MOST:
            self.traffic.rejected += 1
            oldest = next(iter(self.unidentified))
            del self.unidentified[oldest]
            oldest.close()
        self.unidentified[connection] = True

    async def _read(self, connection):
        splitter = Splitter(self.frame_most)
        messages = await self._first(connection, splitter)
        name = self.identify(messages[0])
        del self.unidentified[connection]
        self.close(name)  # an older connection: the process behind it began anew
        self.by_name[name], connection.name = connection, name
        while True:
            await self.deliver(name, connection, messages)
            messages = [self.decode(data) for data in await connection.read(splitter)]

    async def _first(self, connection, splitter):
        with anyio.move_on_after(IDENTIFY_WITHIN):
            return [self.decode(data) for data in await connection.read(splitter)]
        raise ConnectionRejected(f"it said nothing for {IDENTIFY_WITHIN} s")

    def _forget(self, connection):
        if self.by_name.get(connection.name) is connection:
            del self.by_name[connection.name]
            self.ended(connection.name)
