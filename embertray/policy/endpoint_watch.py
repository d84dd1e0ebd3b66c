"""Endpoint watch: follows the endpoint list, and subscribes to it again with backoff after a failure.

Rule: an update with changes applies to the backends that it names. A complete update, or one from a cache,
also means that all backends that it does not name are gone. A polled list is subscribed to at the start.
After any failure the list is subscribed to again, after a backoff that doubles from 0.5 s to 4 s; meanwhile
the last known list remains in force.

Inputs: `interface.EndpointListUpdate`. Output: the backends that stopped being ready, whose lines are
removed, and subscriptions.

Prevents a controller from overloading a list service that is down or restarting, and from dropping the
backends that it knows.
"""

from .backend import BackendState
from .interface import Endpoint, Log, Subscribe
from .units import MILLISECOND, SECOND

RESUBSCRIBE_BACKOFF_FIRST = 500 * MILLISECOND  # ns
RESUBSCRIBE_BACKOFF_MAX = 4 * SECOND  # ns
RESUBSCRIBE_DOUBLINGS_MAX = 6


class EndpointWatch:
    """Tracks the endpoint list of one controller.

    Args:
        context: `Context` of the controller.
    """

    def __init__(self, context):
        self.context = context
        self.failures = 0
        self._subscribe_at = 0 if context.deployment.ask else None

    def update(self, updates):
        """Applies the updates of one step.

        Args:
            updates: `interface.EndpointListUpdate`s, in order of arrival.

        Returns:
            The `BackendState`s whose lines are to be removed.
        """
        entries = [pair for update in updates for pair in self._entries(update)]
        return [backend for backend, entry in entries if backend.update_from_list(entry)]

    def _entries(self, update):
        """Returns (backend, entry) pairs of an update, with entries for backends that it omits."""
        if update.how == "failed":
            self._schedule_resubscription()
            return []
        self.failures = 0
        named = {entry.backend for entry in update.entries}
        known = self.context.backends if update.how in ("whole", "cached") else []
        missing = [
            Endpoint(backend.handle, backend.zone, "gone") for backend in known if backend.handle not in named
        ]
        return [(self._backend_state(entry.backend), entry) for entry in update.entries + missing]

    def _schedule_resubscription(self):
        doublings = min(self.failures, RESUBSCRIBE_DOUBLINGS_MAX)
        backoff = min(RESUBSCRIBE_BACKOFF_MAX, RESUBSCRIBE_BACKOFF_FIRST << doublings)
        self._subscribe_at = self.context.now + backoff
        self.failures += 1
        self.context.orders.append(
            Log(
                f"endpoint list: request failed, {self.failures} consecutive failures; subscribing again in "
                f"{backoff // MILLISECOND} ms, keeping the last known list"
            )
        )

    def _backend_state(self, handle):
        if handle.policy_state is None:
            handle.policy_state = BackendState(self.context, handle)
            self.context.backends.append(handle.policy_state)
        return handle.policy_state

    def subscribe_if_due(self):
        """Orders a subscription if one is due; called in each control cycle."""
        if self._subscribe_at is not None and self.context.now >= self._subscribe_at:
            self._subscribe_at = None
            self.context.orders.append(Subscribe())
