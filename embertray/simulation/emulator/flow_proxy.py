"""The proxy of a FlowFleet: it talks to a real controller, and its requests are counts."""

import anyio

from embertray.common.net.queued_connection import QueuedConnection
from embertray.controller.stream.exceptions import ProtocolError
from embertray.controller.stream.messages import Acknowledgement, Orders
from embertray.controller.stream.routing_state import RoutingState
from embertray.controller.stream.session import ProxySession
from embertray.simulation.standins.link import STREAM_ERRORS

# The shortest pause before the next dial.
REDIAL_NS = 10**9 // 2


class FlowProxy:
    """One proxy's stream to the controller, and its routing tables.

    Args:
        name: The proxy's name.
        zone: Its zone.
        rate: Requests a second.
        fleet: The FlowFleet that it belongs to.

    Attributes:
        routing_state: Its tables.
        orders: Orders received so far.
    """

    def __init__(self, name, zone, rate, fleet):
        self.name = name
        self.zone = zone
        self.rate = rate
        self.fleet = fleet
        self.routing_state = RoutingState()
        self.orders = 0
        self._session = None
        self._connection = None  # a Conn; None: not joined
        self._scope = anyio.CancelScope()

    async def run(self):
        """Keeps the proxy joined until `leave`; dials again after a broken stream."""
        clock = self.fleet.clock
        with self._scope:
            while True:
                pause = REDIAL_NS
                try:
                    pause = max(pause, await self._join())
                except* (*STREAM_ERRORS, ProtocolError):
                    # The controller closed the stream or cannot be reached: the proxy dials again after the
                    # pause.
                    pass
                await clock.sleep_until(clock.now() + pause)

    async def _join(self):
        """Joins, and handles the controller's messages until the stream ends.

        Returns:
            The time after which a rejected proxy may dial again, ns; otherwise 0.
        """
        self._session = ProxySession(self.name, self.zone, self.rate, True)
        retry_after = 0
        async with (
            await self.fleet.net.dial(self.fleet.address) as stream,
            anyio.create_task_group() as group,
        ):
            connection = QueuedConnection(stream)
            connection.put(self._session.start())
            group.start_soon(connection.write)
            try:
                while not self._session.ended:
                    for message in self._session.receive(await connection.read()):
                        if isinstance(message, Orders):
                            self._apply(message, connection)
                        elif self._session.ended:
                            retry_after = message.wait
                        else:
                            self._connection = connection
            finally:
                self._connection = None
                self.routing_state.disconnected()
                group.cancel_scope.cancel()
        return retry_after

    def _apply(self, orders, connection):
        self.orders += 1
        self.routing_state.apply(orders)
        if orders.nonce:
            connection.put(self._session.pack(Acknowledgement(orders.nonce)))

    def report(self, load_report):
        """Sends a load report, if the proxy is joined.

        Args:
            load_report: The LoadReport.
        """
        if self._connection is not None:
            self._connection.put(self._session.pack(load_report))

    def leave(self):
        """Leaves for good; it may be called before `run` has started."""
        self._scope.cancel()
