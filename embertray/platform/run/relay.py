"""The connections with the relay: one call at a time, and some with its news."""

import anyio

from embertray.common.net.http import CallFailed
from embertray.platform.protocol.calls import CALLS, FORM, Unreadable
from embertray.platform.protocol.limits import (
    ANSWER_MOST,
    ANSWER_WITHIN,
    LOOK,
    MS,
    QUIET_BESIDE,
    REDIAL,
    REDIAL_MOST,
    SEND_WITHIN,
)
from embertray.platform.protocol.news import STREAM


class Relay:
    """`post` is the controller's platform.Post, `dial()` gives a Talk with the relay, `poke()` is called when
    the module has something to do."""

    def __init__(self, post, clock, dial, poke, log):
        self.post, self.clock, self.dial, self.poke, self.log = post, clock, dial, poke, log
        self.called, self.streams = anyio.Event(), {}  # streams: cancel scopes of connections with news

    def moved(self):
        """The relay has another address. One connection goes over now; the leader's is closed by the old
        relay once the other has opened."""
        for name in [n for n in self.streams if n is not self.post.standing.leader]:
            self.streams[name].cancel()

    # ---- calls

    async def calls(self):
        """One call in flight, each on a connection of its own: one that does not come up has carried
        nothing.
        """
        caller = self.post.caller
        while True:
            self.called = anyio.Event()
            now = self.clock.now()
            if (call := caller.due(now)) is None:
                if caller.idle:
                    self.poke()
                    await self.called.wait()
                else:
                    with anyio.move_on_after(max(0, caller.at - now) / 1e9):
                        await self.called.wait()
                continue
            try:
                status, body = await self.one_call(call)
                said = caller.answered(self.clock.now(), status, body)
            except CallFailed as wrong:
                said = caller.broke(self.clock.now(), wrong.sent, str(wrong))
            if said and not caller.fails & (
                caller.fails - 1
            ):  # of an outage the 1st, 2nd, 4th, 8th ... is told
                self.log.info(
                    "call", why=said, orders=len(call.orders), nonce=call.nonce, failed=caller.fails
                )

    async def one_call(self, call):
        talk, reset = await self.dial(), True
        try:
            await talk.ask("POST", CALLS, SEND_WITHIN, call.body(), FORM)
            answer = await talk.answer(ANSWER_WITHIN, ANSWER_MOST)
            reset = False
            return answer
        finally:
            await talk.aclose(reset)

    # ---- news

    async def news(self, name):
        """Keeps one connection with the relay's news, again and again."""
        wait, fails = REDIAL, 0
        while True:
            began = self.clock.now()
            with anyio.CancelScope() as scope:
                self.streams[name] = scope
                try:
                    await self.listen_to(name)
                except (CallFailed, Unreadable) as wrong:
                    if not fails & (fails - 1):
                        self.log.info("news broke", stream=name, why=str(wrong))
                finally:
                    self.relayed(self.post.standing.lost(self.clock.now(), name))
            lasted = self.clock.now() - began > 2 * QUIET_BESIDE
            wait, fails = (REDIAL, 0) if lasted else (min(REDIAL_MOST, 2 * wait), fails + 1)
            await anyio.sleep(wait / 1e9)

    async def listen_to(self, name):
        standing, reader = self.post.standing, self.post.stream()
        talk = await self.dial()
        try:
            await talk.ask("GET", STREAM, SEND_WITHIN)
            standing.opened(self.clock.now(), name)
            status = None
            while True:
                data = None
                with anyio.move_on_after(self.beat() / 1e9):
                    if status is None and (status := await talk.begin()) != 200:
                        raise CallFailed(f"status {status}", True)
                    data = await talk.data()
                    if data is None:
                        raise CallFailed("ended", True)
                now = self.clock.now()
                if data is not None:
                    self.relayed(standing.took(now, name, reader.receive(data)))
                else:
                    self.relayed(standing.lead(now))
                    if why := standing.quiet(now, name):
                        raise CallFailed(why, True)
        finally:
            await talk.aclose()

    def beat(self):
        """ns until a connection with news is looked at again, if it brings nothing."""
        due = self.post.standing.next_at()
        return LOOK if due is None else max(MS, min(LOOK, due - self.clock.now()))

    def relayed(self, found):
        if found:
            if self.post.relayed(found):
                self.called.set()
            self.poke()
