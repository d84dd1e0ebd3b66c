"""Events for a replica's loop: whatever changes its state runs there, one after the other."""

from collections import deque
from functools import partial

import anyio
import anyio.lowlevel

NS_PER_S = 10**9


class EventQueue:
    """Actions that wait to be called in the loop.

    Args:
        clock: the process's clock.
    """

    def __init__(self, clock):
        self.clock = clock
        self._actions = deque()
        self._submitted = anyio.Event()

    def submit(self, action):
        """Has action(now=ns) called in the next turn of the loop."""
        self._actions.append(action)
        self._submitted.set()

    async def submit_and_wait(self, action):
        """The same, but returns once it was called: so a sender has one batch in the queue at most."""
        done = anyio.Event()
        self.submit(partial(self._call, action, done))
        await done.wait()

    @staticmethod
    def _call(action, done, now):
        action(now=now)
        done.set()

    def run_all(self):
        """Calls all actions that wait, in order."""
        self._submitted = anyio.Event()
        actions = self._actions
        self._actions = deque()
        for action in actions:
            action(now=self.clock.now())

    async def wait_until(self, due):
        """Returns when an action is submitted, or at `due`, ns; other tasks run in any case."""
        remaining = due - self.clock.now()
        if self._actions or remaining <= 0:
            await anyio.lowlevel.checkpoint()
            return
        with anyio.move_on_after(remaining / NS_PER_S):
            await self._submitted.wait()
