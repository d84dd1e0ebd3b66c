"""One controller's sockets and signals round a platform.Post; a task group, nothing detached, nothing
decided.
"""

import signal

import anyio
import structlog

from embertray.common.net.address import BadAddress
from embertray.common.net.http import CallFailed, Talk
from embertray.platform.protocol.discovery import Unreadable as BadList
from embertray.platform.protocol.limits import (
    CONNECT_WITHIN,
    FAULT_WAIT,
    GATHER,
    LIST_MOST,
    LIST_WHOLE,
    SEND_WITHIN,
    STREAMS,
)
from embertray.platform.protocol.post import Post
from embertray.platform.protocol.start import BadStart

from .clients import Clients
from .relay import Relay


class Service:
    """`start` is a platform Start, `load` reads it anew."""

    def __init__(self, start, clock, net, load, log=None):
        self.start, self.clock, self.net, self.load = start, clock, net, load
        self.log = (log or structlog.get_logger()).bind(controller=start.name)
        self.post = Post(start, clock.now(), clock.wall())
        self.poked = anyio.Event()
        self.clients = Clients(self.post, clock, self.poke, self.log)
        self.relay = Relay(
            self.post,
            clock,
            lambda: Talk.dial(net, self.start.store.address, CONNECT_WITHIN),
            self.poke,
            self.log,
        )
        self.watching = None  # the cancel scope of the list's call
        self.address = None

    # ---- lifecycle

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED, early=None):
        """Runs until it is cancelled; started(address) once it listens. `early` ends the process by SIGTERM
        and SIGINT and has kept SIGHUP until now; without it no signal is looked at. Raises OSError,
        BadAddress."""
        self.dialled(self.start)
        listener = await self.net.listen(self.start.listen)
        self.address = listener.address
        try:
            async with anyio.create_task_group() as group:
                if early:
                    await group.start(self.hangups, early)
                group.start_soon(self.kept, self.clients.accept, listener, group)
                group.start_soon(self.kept, self.pump)
                group.start_soon(self.kept, self.relay.calls)
                group.start_soon(self.kept, self.lists)
                for name in range(STREAMS):
                    group.start_soon(self.kept, self.relay.news, name)
                self.log.info("listening", address=self.address, list=len(self.post.state))
                task_status.started(self.address)
                await anyio.sleep_forever()
        finally:
            with anyio.CancelScope(shield=True):
                await listener.aclose()

    async def kept(self, work, *given):
        """Runs `work` again and again: a fault of ours in it is told in the log, and costs what it was at,
        not the process.
        """
        while True:
            try:
                await work(*given)
            except Exception as wrong:  # against what we have not thought of
                self.log.error("a fault of ours", at=work.__name__, exc_info=wrong)
                await anyio.sleep(FAULT_WAIT / 1e9)

    async def hangups(self, early, *, task_status):
        with anyio.open_signal_receiver(signal.SIGHUP) as came:
            if early.kept:
                self.on_hangup()
            task_status.started()
            async for _ in came:
                self.on_hangup()

    def on_hangup(self):
        """A fault of ours in it is told in the log: one in reading leaves the configuration as it was. Not by
        `kept`: without its receiver, SIGHUP would end the process."""
        try:
            self.reload()
        except Exception as wrong:  # against what we have not thought of
            self.log.error("a fault of ours", at="reload", exc_info=wrong)

    def dialled(self, start):
        """`start`, if its addresses can be dialled. Raises BadAddress."""
        for address in (start.discovery, start.store.address):
            self.net.parse(address)
        return start

    def reload(self):
        """A new configuration: other addresses of discovery and relay hold from now on; a bad file changes
        nothing.
        """
        try:
            new = self.dialled(self.load())
        except (BadStart, BadAddress) as wrong:
            self.log.error("the new configuration can't be used", why=str(wrong))
            return
        old, self.start = self.start, new
        self.log.info("new configuration", discovery=new.discovery, relay=new.store.address)
        if new.discovery != old.discovery:
            self.post.follow.elsewhere()
            if self.watching:
                self.watching.cancel()
        if new.store.address != old.store.address:
            self.relay.moved()
        self.relay.called.set()

    # ---- the module

    def poke(self):
        self.poked.set()

    async def pump(self):
        """Events of one wake-up are one step."""
        while True:
            self.poked = anyio.Event()
            now = self.clock.now()
            try:
                if self.post.advance(now):
                    self.relay.called.set()
            except Exception:  # against a fault within a step: who knows what it left half done
                self.post.anew(now)
                raise
            said, self.post.said = self.post.said, []
            for text in said:
                self.log.info("decision", says=text)
            if (due := self.post.next_at()) is None:
                await self.poked.wait()
            else:
                with anyio.move_on_after(max(0, due - self.clock.now()) / 1e9):
                    await self.poked.wait()
            await self.clock.sleep_until(now + GATHER)

    # ---- the list

    async def lists(self):
        """Follows the list, call by call on one connection, and on a new one when it breaks."""
        follow = self.post.follow
        while True:
            with anyio.CancelScope() as self.watching:
                talk = None
                try:
                    talk = await Talk.dial(self.net, address := self.start.discovery, CONNECT_WITHIN)
                    while True:
                        await self.list_call(talk, follow, address)
                        await anyio.sleep(follow.pause() / 1e9)
                        if not talk.again():
                            break
                except (CallFailed, BadList) as wrong:
                    if follow.fails < 3:  # the first ones: an outage is not told every 2 s
                        self.log.info("the list did not answer", why=str(wrong))
                    await anyio.sleep(follow.broke() / 1e9)
                except Exception:  # against a fault of ours halfway through a list
                    follow.elsewhere()
                    raise
                finally:
                    if talk:
                        await talk.aclose()

    async def list_call(self, talk, follow, address):
        path, within = follow.ask(self.clock.now())
        await talk.ask("GET", path, SEND_WITHIN)
        status, body = await talk.answer(within, LIST_MOST, LIST_WHOLE)
        if (
            self.start.discovery != address
        ):  # against an answer that came in the same wake-up as another address
            return
        now = self.clock.now()
        if got := follow.heard(now, status, body):
            self.post.news(now, got[0], self.clock.wall(), got[1])
            self.poke()
