"""The list: dialled, followed, asked for again, given up when it does not answer."""

import anyio
import msgspec

from embertray.common.framing import BadFrame, Splitter, frame
from embertray.controller.endpoint_list import EndpointListFollower, UpdateKind
from embertray.controller.endpoint_list.messages import decode_response, encode as encode_request

from .broken import BROKEN, S


class ListClient:
    """Of one `host`, a Service: its connection to the inventory."""

    def __init__(self, host, chance):
        self.host, self.follower = host, EndpointListFollower(host.me.name, chance)
        self.calls, self.ask_again, self.connected = [], anyio.Event(), False

    async def run(self):
        """Dials the inventory, and again with backoff when it breaks."""
        if self.host.site.ask:
            await self.ask_again.wait()  # the module says when
        await self.host.clock.sleep_until(
            self.host.clock.now() + self.follower.initial_delay(bool(self.host.trust.backends))
        )
        while True:
            try:
                stream = await self.host.net.dial(self.host.site.inventory)
                async with stream:
                    await self.listen_to(stream)
            except* (*BROKEN, BadFrame, msgspec.DecodeError) as wrong:
                first = wrong.exceptions[0]
                while isinstance(first, ExceptionGroup):
                    first = first.exceptions[0]
                self.host.log.warning("inventory broke", why=str(first) or type(first).__name__)
            self.connected = False
            self.host.counted["list_breaks"] += 1
            wait = self.follower.connection_failed()
            if self.host.site.ask:  # the module decides when to ask again
                self.host.frontend.forward_entries(self.host.clock.now(), "failed", [])
                self.host.poke()
                self.calls.clear()
                self.ask_again = anyio.Event()
                await self.ask_again.wait()
            else:
                await self.host.clock.sleep_until(self.host.clock.now() + wait)

    async def listen_to(self, stream):
        splitter = Splitter()
        async with anyio.create_task_group() as group:
            self.calls.clear()
            await stream.send(frame(encode_request(self.follower.connected(self.host.clock.now()))))
            self.connected = True
            group.start_soon(self.ask, stream)
            group.start_soon(self.overdue, stream)
            while True:
                data = await stream.receive()
                for payload in splitter.feed(data):
                    message = decode_response(payload)
                    update = self.follower.receive(message)
                    if update.kind is UpdateKind.GAP:
                        self.asked(True)
                        continue
                    self.host.counted["list_news"] += 1
                    now = self.host.clock.now()
                    again = self.host.frontend.receive_update(
                        now, update.kind, update.epoch, update.inventory_clock, update.entries
                    )
                    self.host.poke()
                    if update.kind is not UpdateKind.FAILED:
                        self.host.snapshots.due.set()
                    if again:
                        self.host.log.warning(
                            "the list is asked for again: it lacks most of those who answer"
                        )
                        self.asked(True)

    async def ask(self, stream):
        """Further calls on a connection that is up: the module's, and for the whole when there is room
        again.
        """
        while True:
            self.ask_again = anyio.Event()
            calls, self.calls = self.calls, []
            if calls and (call := self.follower.next_request(self.host.clock.now(), any(calls))):
                await stream.send(frame(encode_request(call)))
            await self.ask_again.wait()

    def asked(self, whole):
        """The next call: for the whole list or for what is new."""
        self.calls.append(whole)
        self.ask_again.set()

    async def overdue(self, stream):
        """A call without an answer for too long has failed: the connection is given up."""
        while not self.follower.timed_out(self.host.clock.now()):
            await self.host.clock.sleep_until(self.host.clock.now() + S)
        raise TimeoutError("the list does not answer")
