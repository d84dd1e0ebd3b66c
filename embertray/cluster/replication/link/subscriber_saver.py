"""A subscriber's saved state: checked at start, saved while the subscriber runs."""

import anyio

from .durable_state import SubscriberState

NS_PER_S = 10**9
SAVE_INTERVAL_NS = 1 * NS_PER_S  # minimum time between two saves
SAVE_AGE_INTERVAL_NS = 15 * NS_PER_S  # time between two saves when only the age has changed


def usable_state(state, cluster, log):
    """The saved state of a previous process, or None if there is none or it is of another cluster."""
    if state is not None and state.cluster != cluster:
        log.error("saved state ignored", reason="it belongs to another cluster", cluster=state.cluster)
        return None
    return state


def restored_known_at(state, clock):
    """Time at which a saved state was certainly the newest.

    Args:
        state: a SubscriberState.
        clock: the process's clock.

    Returns:
        ns of the monotonic clock, possibly negative; None if not known. It also counts as not known if the
        wall clock went backwards, as the state would look fresher than it is.
    """
    wall = clock.wall()
    if state.known_at is None or wall < state.saved_at:
        return None
    return clock.now() - (wall - state.known_at)


class SubscriberSaver:
    """Saves a Subscriber's state periodically.

    Args:
        subscriber: the Subscriber.
        state_store: an open StateStore of SubscriberState.
        clock: the process's clock.
        log: a structlog logger.

    Attributes:
        saves: number of saved states.
        save_fails: number of states that could not be saved.
    """

    def __init__(self, subscriber, state_store, clock, log):
        self.subscriber = subscriber
        self.state_store = state_store
        self.clock = clock
        self.log = log
        self.saves = 0
        self.save_fails = 0

    async def run(self):
        """Saves the state when it has changed, until cancelled."""
        saved = self._position()
        saved_at = self.clock.now()
        while True:
            await self.clock.sleep_until(self.clock.now() + SAVE_INTERVAL_NS)
            now = self.clock.now()
            current = self._position()
            same_revision = current[0] == saved[0]
            age_due = now - saved_at >= SAVE_AGE_INTERVAL_NS and current != saved
            if same_revision and not age_due:
                continue
            if await self._save(now):
                saved = current
                saved_at = now

    def _position(self):
        return self.subscriber.revision, self.subscriber.freshness.known_at

    async def _save(self, now):
        """Saves the state. Returns whether it succeeded; a failure is harmless, as replicas have all data."""
        try:
            await anyio.to_thread.run_sync(self.state_store.save, self._state(now))
        except OSError as error:
            self.save_fails += 1
            self.log.warning("state not saved, keeping the previous one", reason=str(error))
            return False
        self.saves += 1
        return True

    def _state(self, now):
        age = self.subscriber.age(now)
        wall = self.clock.wall()
        return SubscriberState(
            cluster=self.subscriber.cluster,
            revision=self.subscriber.revision,
            saved_at=wall,
            known_at=None if age is None else wall - age,
            entries=list(self.subscriber.store.entries_since(0)),
        )
