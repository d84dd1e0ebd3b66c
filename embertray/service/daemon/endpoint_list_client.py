"""The daemon's connection to the inventory: dial, backoff, requests, response timeout."""

import anyio
import msgspec

from embertray.common.framing import FrameDecoder, FrameError, encode_frame
from embertray.common.net.exceptions import CONNECTION_ERRORS
from embertray.controller.endpoint_list import EndpointListFollower, UpdateKind
from embertray.controller.endpoint_list.messages import decode_response, encode as encode_request

NS_PER_SECOND = 10**9
TIMEOUT_CHECK_PERIOD_NS = 1 * NS_PER_SECOND


def first_error(group):
    """Returns the first error within an ExceptionGroup, however deep."""
    error = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


class EndpointListClient:
    """Follows the endpoint list for a Service.

    Args:
        service: The Service.
        chance: A function that returns random numbers from 0 to 1, for the backoff.

    Attributes:
        follower: The EndpointListFollower.
        connected: Whether a connection is up.
    """

    def __init__(self, service, chance):
        self.follower = EndpointListFollower(service.me.name, chance)
        self.connected = False
        self._service = service
        self._requests = []  # requests to be sent: whether each is for the complete list
        self._requested = anyio.Event()

    def request(self, complete):
        """Queues a request: for the complete list, or for the changes only."""
        self._requests.append(complete)
        self._requested.set()

    async def run(self):
        """Dials the inventory, and again whenever the connection breaks, until cancelled.

        A broken connection is dialled again after a backoff or, if the list is polled, at the next poll.
        """
        polled = self._service.site.ask
        if polled:
            await self._requested.wait()  # the policy decides when to poll
        await self._sleep(self.follower.initial_delay(bool(self._service.trust.backends)))
        while True:
            await self._follow_one_connection()
            self.connected = False
            self._service.counters.list_breaks += 1
            backoff = self.follower.connection_failed()
            if polled:
                await self._wait_for_next_poll()
            else:
                await self._sleep(backoff)

    async def _sleep(self, duration):
        await self._service.clock.sleep_until(self._service.clock.now() + duration)

    async def _follow_one_connection(self):
        """Follows the list until the connection breaks.

        A peer that is down, closes, sends malformed data or does not answer in time raises one of the errors
        below. Only this connection ends: the tables stay in force, and the inventory is dialled again.
        """
        try:
            stream = await self._service.net.dial(self._service.site.inventory)
            async with stream:
                await self._follow(stream)
        except* (*CONNECTION_ERRORS, FrameError, msgspec.DecodeError) as errors:
            error = first_error(errors)
            self._service.log.warning("inventory connection failed", why=str(error) or type(error).__name__)

    async def _wait_for_next_poll(self):
        """Notifies the policy that the poll failed, and waits until it orders the next one."""
        self._service.frontend.forward_entries(self._service.clock.now(), "failed", [])
        self._service.wake()
        self._requests.clear()
        self._requested = anyio.Event()
        await self._requested.wait()

    async def _follow(self, stream):
        decoder = FrameDecoder()
        async with anyio.create_task_group() as group:
            self._requests.clear()
            await stream.send(
                encode_frame(encode_request(self.follower.connected(self._service.clock.now())))
            )
            self.connected = True
            group.start_soon(self._send_requests, stream)
            group.start_soon(self._watch_timeout)
            while True:
                data = await stream.receive()
                for payload in decoder.feed(data):
                    self._receive(decode_response(payload))

    def _receive(self, response):
        """Applies a response and passes its changes to the frontend."""
        update = self.follower.receive(response)
        if update.kind is UpdateKind.GAP:
            self.request(complete=True)
            return
        service = self._service
        service.counters.list_news += 1
        refetch = service.frontend.receive_update(
            service.clock.now(), update.kind, update.epoch, update.inventory_clock, update.entries
        )
        service.wake()
        if update.kind is not UpdateKind.FAILED:
            service.snapshots.request()
        if refetch:
            service.log.warning("requesting the complete list again: it lacks most backends that answer")
            self.request(complete=True)

    async def _send_requests(self, stream):
        """Sends further requests on an open connection; several queued requests are merged into one."""
        while True:
            self._requested = anyio.Event()
            requests = self._requests
            self._requests = []
            if requests:
                request = self.follower.next_request(self._service.clock.now(), any(requests))
                if request:
                    await stream.send(encode_frame(encode_request(request)))
            await self._requested.wait()

    async def _watch_timeout(self):
        """Raises TimeoutError once a request has had no answer for too long.

        Nothing else would end the wait for an inventory that hangs with its connection open.
        """
        while not self.follower.timed_out(self._service.clock.now()):
            await self._sleep(TIMEOUT_CHECK_PERIOD_NS)
        raise TimeoutError("the inventory did not answer in time")
