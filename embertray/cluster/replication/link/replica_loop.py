"""A replica's main loop: handles events one at a time and executes instructions in a fixed order."""

import anyio

from embertray.cluster.replication.codec import encode
from embertray.cluster.replication.exceptions import StateNotSavedError

from .entry_log import log_entries

FEED_INTERVAL_NS = 20 * 10**6  # minimum time between two passes over the subscribers, to batch their messages


class ReplicaLoop:
    """Runs one Replica and its SubscriberFeed.

    Args:
        replica: the Replica.
        feed: the SubscriberFeed.
        clock: the process's clock.
        events: the EventQueue whose actions the loop runs.
        state_store: a StateStore of ReplicaState, or None to keep nothing.
        links: name of each other replica -> its PeerLink.
        subscribers: the InboundSubscribers.
        pending: the PendingWrites to complete.
        stop: called if the state cannot be saved; `failure` then holds the error.
        log: a structlog logger.

    Attributes:
        saves: number of saved states.
        steps: number of iterations of the loop.
        failure: a StateNotSavedError, or None.
    """

    def __init__(self, replica, feed, clock, events, state_store, links, subscribers, pending, stop, log):
        self.replica = replica
        self.feed = feed
        self.clock = clock
        self.events = events
        self.state_store = state_store
        self.links = links
        self.subscribers = subscribers
        self.pending = pending
        self.stop = stop
        self.log = log
        self.feed_at = clock.now()  # ns when subscribers are served next
        self.saves = 0
        self.steps = 0
        self.failure = None

    async def run(self):
        """Runs until cancelled."""
        while True:
            self.events.run_all()
            now = self.clock.now()
            if self.feed.schedule.pending:
                self.feed_at = min(self.feed_at, now + FEED_INTERVAL_NS)
            if now >= self.replica.next_at():
                self.replica.advance(now)
            await self._execute_instructions()
            self._serve_subscribers()
            await self.events.wait_until(min(self.replica.next_at(), self.feed_at))

    async def _execute_instructions(self):
        """Saves the state, then sends messages, then completes client calls.

        A vote or an acknowledgement sent before it is saved could be undone by a crash, which could elect two
        leaders in one term or lose a committed write. A client notified earlier would rely on a write that a
        majority does not have on disk.
        """
        self.steps += 1
        instructions = self.replica.poll()
        if instructions.state is not None:
            await self._save(instructions.state)
        for envelope in instructions.messages:
            self.links[envelope.recipient].put(encode(envelope.message))
        if instructions.committed:
            self.feed_at = self.clock.now()
            log_entries(self.log, "committed", instructions.committed)
        if self.pending:
            self.pending.resolve(self.replica.store)

    async def _save(self, state):
        if self.state_store is None:
            return
        try:
            await anyio.to_thread.run_sync(self.state_store.save, state)
        except OSError as error:
            self.log.error("state not saved, stopping the replica", reason=str(error))
            self.failure = StateNotSavedError(str(error))
            self.stop()
            await anyio.sleep_forever()  # until cancelled: nothing may be sent that depends on unsaved state
        self.saves += 1
        last = state.uncommitted[-1].revision if state.uncommitted else state.revision
        self.log.debug("saved", revision=last, committed=state.revision, term=state.term)

    def _serve_subscribers(self):
        now = self.clock.now()
        if now < self.feed_at:
            return
        instructions = self.feed.advance(now, self.replica.age(now))
        for name in instructions.silent:
            self.log.info("subscriber dropped", subscriber=name, reason="silent")
            self.subscribers.close(name)
        for message in instructions.messages:
            connection = self.subscribers.by_name.get(message.subscriber)
            if connection is not None:
                connection.put(message.data)
        self.feed_at = max(self.feed.next_at(now), now + FEED_INTERVAL_NS)
