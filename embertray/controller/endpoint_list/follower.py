"""Follows the endpoint list without I/O: which events apply, what to request, when to reconnect.

Changes that are based on another epoch than ours are not applied, so that an incomplete list is never taken
for a complete one.
"""

from .backoff import backoff_delay
from .messages import ListRequest, RequestFailed, WatchEvent, WatchRequest
from .updates import ListUpdate, UpdateKind

# Controllers that have a list spread their first connection after a start over this time.
FIRST_CALL_SPREAD_NS = 2 * 10**9
REQUEST_TIMEOUT_NS = 5 * 10**9  # for the response of the inventory


class EndpointListFollower:
    """The controller's side of the endpoint list.

    Args:
        name: The controller's name, which the inventory records.
        random: A function that returns random numbers from 0 to 1.

    Attributes:
        epoch: Version of the current list; 0: none.
        entries: That list: backend name -> EndpointEntry.
        failures: Consecutive failed connections and requests.
    """

    def __init__(self, name="", random=lambda: 1.0):
        self.name = name
        self.random = random
        self.epoch = 0
        self.entries = {}
        self.failures = 0
        self._request_sent_at = None  # ns; None: no request is in flight

    def initial_delay(self, has_list):
        """Returns the delay before the first connection after a start, ns.

        Args:
            has_list: Whether a list was loaded from disk. Without one the controller can do nothing else, so
                it connects at once; with one, the delay is random, so that controllers that start together
                do not connect together.
        """
        return int(FIRST_CALL_SPREAD_NS * self.random()) if has_list else 0

    def connected(self, now):
        """Starts the watch on a new connection.

        Args:
            now: ns.

        Returns:
            The first request to send on it.
        """
        self._request_sent_at = now
        return WatchRequest(self.epoch, True, self.name)

    def next_request(self, now, complete=False):
        """Requests the list again, unless a request is in flight.

        Args:
            now: ns.
            complete: Whether to request the complete list, not only the changes.

        Returns:
            The request to send, or None: one is in flight.
        """
        if self._request_sent_at is not None:
            return None
        self._request_sent_at = now
        return ListRequest() if complete else WatchRequest(self.epoch, True, self.name)

    def connection_failed(self):
        """Records that the connection was lost or could not be made.

        Returns:
            The delay before the next attempt, ns.
        """
        self._request_sent_at = None
        self.failures += 1
        return backoff_delay(self.failures, self.random())

    def timed_out(self, now):
        """Returns whether a request has been in flight for over REQUEST_TIMEOUT_NS at `now` (ns)."""
        return self._request_sent_at is not None and now - self._request_sent_at > REQUEST_TIMEOUT_NS

    def receive(self, message):
        """Applies a message of the inventory.

        Args:
            message: A WatchEvent or a RequestFailed.

        Returns:
            A ListUpdate. After a gap, request the complete list.
        """
        if isinstance(message, RequestFailed):
            self.failures += 1
            self._request_sent_at = None
            return ListUpdate(UpdateKind.FAILED)
        assert isinstance(message, WatchEvent)
        if message.since and message.since != self.epoch:
            self._request_sent_at = None
            return ListUpdate(UpdateKind.GAP, [], message.epoch, message.clock)
        self._request_sent_at = None
        self.failures = 0
        self.epoch = message.epoch
        if message.since:
            kind = UpdateKind.CHANGES
            self._apply_changes(message.entries)
        else:
            kind = UpdateKind.COMPLETE
            self.entries = {entry.backend: entry for entry in message.entries if entry.state != "gone"}
        return ListUpdate(kind, message.entries, message.epoch, message.clock)

    def _apply_changes(self, changed):
        self.entries.update((entry.backend, entry) for entry in changed)
        if any(entry.state == "gone" for entry in changed):
            # a new dict, since one keeps its memory when entries are deleted
            self.entries = {name: entry for name, entry in self.entries.items() if entry.state != "gone"}
