"""A subscriber's connection to the replica that it follows."""

import anyio

from embertray.cluster.replication.codec import decode_to_subscriber
from embertray.cluster.replication.exceptions import MalformedMessageError
from embertray.common.framing import PREFIX, FrameDecoder, FrameError
from embertray.common.net.exceptions import AddressError

from .connection import CONNECTION_ERRORS, MAX_FRAME_TO_SUBSCRIBER_BYTES, Connection, Overflow

NS_PER_S = 10**9
MAX_QUEUED_MESSAGES = 64  # a replica that does not read is left as silent before that many are queued


class SubscriberConnection:
    """Opens, reads and closes connections; at most one of them is in use.

    Args:
        subscriber: the Subscriber that is notified of connection events and messages.
        addresses: name of a replica -> its address.
        clock: the process's clock.
        net: network used to connect.
        traffic: the Traffic to count in.
        execute_actions: execute_actions() executes the Subscriber's actions after an event.
        log: a structlog logger.
    """

    def __init__(self, subscriber, addresses, clock, net, traffic, execute_actions, log):
        self.subscriber = subscriber
        self.addresses = addresses
        self.clock = clock
        self.net = net
        self.traffic = traffic
        self.execute_actions = execute_actions
        self.log = log
        self._connection = None  # the Connection in use
        self._connection_id = 0  # id of that connection

    def send(self, action):
        """Executes a SendMessage; drops it if its connection is no longer in use."""
        if self._connection is not None and action.connection_id == self._connection_id:
            self._connection.put(action.data)

    def close(self, action):
        """Executes a CloseConnection."""
        self.log.debug("closing connection to replica", reason=action.reason)
        if self._connection is not None and action.connection_id == self._connection_id:
            self._connection.close()
            self._connection = None

    async def open(self, action):
        """Executes an OpenConnection: connects, and reads until the connection ends.

        A failed attempt and the end of the connection are reported to the Subscriber.
        """
        try:
            with anyio.fail_after(self.subscriber.timing.connect_timeout / NS_PER_S):
                stream = await self.net.dial(self.addresses[action.replica])
        except (*CONNECTION_ERRORS, AddressError):
            self._report_lost(action.connection_id)
            return
        connection = Connection(stream, self.traffic, MAX_QUEUED_MESSAGES, Overflow.DROP_NEWEST)
        try:
            async with stream:
                with connection.scope:
                    async with anyio.create_task_group() as group:
                        group.start_soon(connection.write)
                        await self._read(connection, action.connection_id)
        except* CONNECTION_ERRORS:
            pass
        except* (FrameError, MalformedMessageError) as errors:
            self.traffic.rejected += 1
            reason = str(errors.exceptions[0])
            self.log.warning("replica sent a malformed message", replica=action.replica, reason=reason)
        if self._connection is connection:
            self._connection = None
        self._report_lost(action.connection_id)

    async def _read(self, connection, connection_id):
        subscriber = self.subscriber
        decoder = FrameDecoder(MAX_FRAME_TO_SUBSCRIBER_BYTES)
        subscriber.connection_opened(self.clock.now(), connection_id)
        if not subscriber.connected or connection_id != subscriber.connection_id:
            return  # the attempt was given up in the meantime
        self._connection = connection
        self._connection_id = connection_id
        self.execute_actions()
        while True:
            for data in await connection.read(decoder):
                size = len(data) + PREFIX.size
                subscriber.receive(self.clock.now(), connection_id, decode_to_subscriber(data), size)
            self.execute_actions()

    def _report_lost(self, connection_id):
        self.subscriber.connection_lost(self.clock.now(), connection_id)
        self.execute_actions()
