"""The connection to discovery: sends requests one at a time, and reconnects when the connection breaks."""

import anyio

from embertray.common.net.exceptions import CallError
from embertray.common.net.http_client import HttpConnection
from embertray.platform.protocol.exceptions import UnreadableListError
from embertray.platform.protocol.limits import (
    CONNECT_TIMEOUT_NS,
    LIST_FAILURES_LOGGED,
    LIST_MAX_BYTES,
    LIST_TRANSFER_TIMEOUT_NS,
    NS_PER_S,
    SEND_TIMEOUT_NS,
)


class ListConnection:
    """Follows the endpoint list of discovery.

    Attributes:
        list_watch: The controller's EndpointListWatch.
        scope: The cancel scope of the current connection, or None.
    """

    def __init__(self, controller, clock, net, address, request_step, log):
        """`address()` returns the current discovery address; `request_step()` schedules a step."""
        self.controller = controller
        self.clock = clock
        self.net = net
        self.address = address
        self.request_step = request_step
        self.log = log
        self.list_watch = controller.list_watch
        self.scope = None

    def on_address_change(self):
        """Cancel the current request and request the complete list from the new address of discovery."""
        self.list_watch.request_whole_list()
        if self.scope:
            self.scope.cancel()

    async def watch_list(self):
        """Follow the list until cancelled."""
        while True:
            with anyio.CancelScope() as self.scope:
                await self.run_connection()

    async def run_connection(self):
        """Open a connection and follow the list on it until it breaks or is closed."""
        connection = None
        try:
            address = self.address()
            connection = await HttpConnection.dial(self.net, address, CONNECT_TIMEOUT_NS)
            await self.send_requests(connection, address)
        except (CallError, UnreadableListError) as error:
            if self.list_watch.failures < LIST_FAILURES_LOGGED:
                self.log.info("endpoint list request failed", why=str(error))
            await anyio.sleep(self.list_watch.on_failure() / NS_PER_S)
        except Exception:
            # an internal error while handling a list may have lost a part of it: request the complete list
            self.list_watch.request_whole_list()
            raise
        finally:
            if connection:
                await connection.aclose()

    async def send_requests(self, connection, address):
        """Send requests until the connection can't be reused.

        Raises:
            CallError: the connection broke.
            UnreadableListError: an answer is not a valid list.
        """
        while True:
            await self.request_list(connection, address)
            await anyio.sleep(self.list_watch.request_delay() / NS_PER_S)
            if not connection.start_next():
                return

    async def request_list(self, connection, address):
        """Send one request and pass its answer to the controller. Raises the errors of `send_requests`."""
        request = self.list_watch.next_request(self.clock.now())
        await connection.send_request("GET", request.path, SEND_TIMEOUT_NS)
        status, body = await connection.read_response(
            request.first_byte_timeout, LIST_MAX_BYTES, LIST_TRANSFER_TIMEOUT_NS
        )
        if self.address() != address:
            # the answer arrived together with a change of address: the scope is cancelled, but this takes
            # effect only at the task's next await
            return
        now = self.clock.now()
        if update := self.list_watch.on_answer(now, status, body):
            self.controller.receive_list_update(now, update.kind, self.clock.wall(), update.endpoints)
            self.request_step()
