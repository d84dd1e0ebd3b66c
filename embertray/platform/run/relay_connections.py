"""The connections to the relay: one per call, with one call at a time, and those of its event streams."""

import anyio

from embertray.common.net.exceptions import CallError
from embertray.platform.protocol.exceptions import UnreadableEventStreamError
from embertray.platform.protocol.limits import (
    ANSWER_MAX_BYTES,
    ANSWER_TIMEOUT_NS,
    NS_PER_MS,
    NS_PER_S,
    RECONNECT_FIRST_NS,
    RECONNECT_MAX_NS,
    SEND_TIMEOUT_NS,
    SILENCE_CHECK_PERIOD_NS,
    STABLE_STREAM_NS,
)
from embertray.platform.protocol.wire import CALL_CONTENT_TYPE, CALLS_PATH, EVENTS_PATH


def should_log_failure(failures):
    """Whether to log a failure, by the number of consecutive failures: at 0, 1, 2, 4, 8 and so on.

    A long outage is thus logged less and less often.
    """
    return not failures & (failures - 1)


class RelayConnections:
    """Sends calls and reads event streams.

    Attributes:
        call_ready: Event that is set when a call may be sent.
        stream_scopes: Event stream -> the cancel scope of its connection.
    """

    def __init__(self, controller, clock, dial, request_step, log):
        """`dial()` opens an HttpConnection to the relay; `request_step()` schedules a step."""
        self.controller = controller
        self.clock = clock
        self.dial = dial
        self.request_step = request_step
        self.log = log
        self.call_ready = anyio.Event()
        self.stream_scopes = {}

    def on_address_change(self):
        """Move event streams to the relay's new address.

        All streams but the leader reconnect now. The leader stays connected until the old relay closes it; by
        then another stream can take over.
        """
        leader = self.controller.proxies.leader
        for name in [name for name in self.stream_scopes if name is not leader]:
            self.stream_scopes[name].cancel()

    # ---- calls

    async def run_calls(self):
        """Send calls until cancelled, one at a time."""
        caller = self.controller.order_caller
        while True:
            self.call_ready = anyio.Event()
            now = self.clock.now()
            call = caller.next_call(now)
            if call is None:
                await self.wait_for_call(now)
                continue
            try:
                status, body = await self.send_call(call)
                failure = caller.on_answer(self.clock.now(), status, body)
            except CallError as error:
                failure = caller.on_failure(self.clock.now(), error.sent, str(error))
            if failure and should_log_failure(caller.failures):
                self.log.info(
                    "order call failed",
                    why=failure,
                    orders=len(call.orders),
                    nonce=call.nonce,
                    failures=caller.failures,
                )

    async def wait_for_call(self, now):
        """Wait until a call may be sent; if none is queued, request a step, which may produce one."""
        caller = self.controller.order_caller
        if caller.idle:
            self.request_step()
            await self.call_ready.wait()
            return
        with anyio.move_on_after(max(0, caller.next_call_at - now) / NS_PER_S):
            await self.call_ready.wait()

    async def send_call(self, call):
        """Send a call on its own connection, so that a failure to connect means that nothing was sent.

        The connection of an abandoned call is reset, which drops bytes that the operating system has not sent
        yet: the call must not arrive after newer ones.

        Returns:
            HTTP status and body.

        Raises:
            CallError: no complete answer was received.
        """
        connection = await self.dial()
        answered = False
        try:
            await connection.send_request("POST", CALLS_PATH, SEND_TIMEOUT_NS, call.body(), CALL_CONTENT_TYPE)
            answer = await connection.read_response(ANSWER_TIMEOUT_NS, ANSWER_MAX_BYTES)
            answered = True
            return answer
        finally:
            await connection.aclose(not answered)

    # ---- event streams

    async def run_event_stream(self, name):
        """Keep one event stream open until cancelled, reconnecting whenever it breaks."""
        wait = RECONNECT_FIRST_NS
        failures = 0
        while True:
            began = self.clock.now()
            with anyio.CancelScope() as scope:
                self.stream_scopes[name] = scope
                try:
                    await self.read_event_stream(name)
                except (CallError, UnreadableEventStreamError) as error:
                    if should_log_failure(failures):
                        self.log.info("event stream broken", stream=name, why=str(error))
                finally:
                    self.add_events(self.controller.proxies.stream_lost(self.clock.now(), name))
            if self.clock.now() - began > STABLE_STREAM_NS:
                wait = RECONNECT_FIRST_NS
                failures = 0
            else:
                wait = min(RECONNECT_MAX_NS, 2 * wait)
                failures += 1
            await anyio.sleep(wait / NS_PER_S)

    async def read_event_stream(self, name):
        """Read one connection of an event stream until it breaks.

        Raises:
            CallError: the connection failed, ended or was silent for too long.
            UnreadableEventStreamError: the stream is malformed.
        """
        proxies = self.controller.proxies
        parser = self.controller.event_stream()
        connection = await self.dial()
        try:
            await connection.send_request("GET", EVENTS_PATH, SEND_TIMEOUT_NS)
            proxies.stream_opened(self.clock.now(), name)
            status = None
            while True:
                data = None
                with anyio.move_on_after(self.silence_check_wait()):
                    if status is None and (status := await connection.read_status()) != 200:
                        raise CallError(f"status {status}", True)
                    data = await connection.read_body_part()
                    if data is None:
                        raise CallError("ended", True)
                now = self.clock.now()
                if data is not None:
                    self.add_events(proxies.received(now, name, parser.receive(data)))
                else:
                    self.check_silence(now, name)
        finally:
            await connection.aclose()

    def check_silence(self, now, name):
        """Check a stream that was silent for a while. Raises CallError if it is to be closed."""
        proxies = self.controller.proxies
        self.add_events(proxies.elect_leader(now))
        if why := proxies.silence_reason(now, name):
            raise CallError(why, True)

    def silence_check_wait(self):
        """Seconds until a silent stream is checked again."""
        sync_at = self.controller.proxies.next_sync_at()
        if sync_at is None:
            return SILENCE_CHECK_PERIOD_NS / NS_PER_S
        return max(NS_PER_MS, min(SILENCE_CHECK_PERIOD_NS, sync_at - self.clock.now())) / NS_PER_S

    def add_events(self, events):
        """Pass proxy events to the controller."""
        if events:
            if self.controller.add_proxy_events(events):
                self.call_ready.set()
            self.request_step()
