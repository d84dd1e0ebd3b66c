"""Queue of actions for a replica's loop, which serializes all changes to the replica's state."""

from collections import deque
from functools import partial

import anyio
import anyio.lowlevel

NS_PER_S = 10**9


class EventQueue:
    """Queue of callables that the loop runs in order.

    Args:
        clock: the process's clock.
    """

    def __init__(self, clock):
        self.clock = clock
        self._actions = deque()
        self._submitted = anyio.Event()

    def submit(self, action):
        """Queues action(now=ns) for the next iteration of the loop."""
        self._actions.append(action)
        self._submitted.set()

    async def submit_and_wait(self, action):
        """Queues an action and waits until it has run, so that a sender has at most one batch queued."""
        done = anyio.Event()
        self.submit(partial(self._call, action, done))
        await done.wait()

    @staticmethod
    def _call(action, done, now):
        action(now=now)
        done.set()

    def run_all(self):
        """Runs all queued actions in order."""
        self._submitted = anyio.Event()
        actions = self._actions
        self._actions = deque()
        for action in actions:
            action(now=self.clock.now())

    async def wait_until(self, due):
        """Waits until an action is submitted or until `due` (ns); always lets other tasks run."""
        remaining = due - self.clock.now()
        if self._actions or remaining <= 0:
            await anyio.lowlevel.checkpoint()
            return
        with anyio.move_on_after(remaining / NS_PER_S):
            await self._submitted.wait()
