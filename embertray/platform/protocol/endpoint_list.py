"""Follows the endpoint list of discovery: builds requests, handles answers, schedules the next request.

There is one request at a time; after the first, each is a watch (long poll) from the cached revision.
"""

from typing import NamedTuple

import msgspec

from .exceptions import UnreadableListError
from .limits import (
    BACKOFF_DOUBLINGS_MAX,
    BACKOFF_FIRST_NS,
    BACKOFF_MAX_NS,
    IMMEDIATE_ANSWER_NS,
    LIST_FIRST_BYTE_TIMEOUT_NS,
    LIST_MAX_BYTES,
    NS_PER_MS,
    STALE_LIST_MAX_NS,
    UNCHANGED_BACKOFF_MAX_NS,
    WATCH_HOLD_NS,
)
from .wire import LIST_PATH, WATCH_PATH, list_decoder


class ListRequest(NamedTuple):
    """A request to send: its path, and the timeout for the first byte of its answer, ns."""

    path: str
    first_byte_timeout: int


class ListUpdate(NamedTuple):
    """The content of an answer: `kind` is "whole" or "changes", `endpoints` are of type wire.Endpoint."""

    kind: str
    endpoints: list


class EndpointListWatch:
    """Follows the endpoint list by its revision.

    Attributes:
        revision: Revision of the cached list.
        failures: Consecutive requests without a valid answer.
        needs_whole_list: Whether the next request is for the complete list.
    """

    def __init__(self, revision=0):
        """`revision`: revision of the list in the configuration, 0 for none."""
        self.revision = revision
        self.failures = 0
        self.needs_whole_list = True
        self.stale_since = None  # ns; since when all answers have been older than `revision`
        self.requested_at = 0  # ns; when the last request was sent
        self.unchanged_answers = 0  # consecutive immediate answers without changes

    def next_request(self, now):
        """Return the ListRequest to send at `now`, ns. The first one is for the complete list."""
        self.requested_at = now
        if self.needs_whole_list:
            return ListRequest(LIST_PATH, LIST_FIRST_BYTE_TIMEOUT_NS)
        path = WATCH_PATH % (self.revision, WATCH_HOLD_NS // NS_PER_MS)
        return ListRequest(path, WATCH_HOLD_NS + LIST_FIRST_BYTE_TIMEOUT_NS)

    def request_whole_list(self):
        """Make the next request ask for the complete list, such as after a change of discovery's address.

        Revisions belong to the list, not to an address, so a lagging agent at the new address can't revert
        the cached list either.
        """
        self.needs_whole_list = True

    def request_delay(self):
        """Return the delay before the next request, ns.

        An agent that answers every request immediately with the cached list would otherwise cause a busy
        loop. The delay stays under 200 ms, within which a watch has to be renewed.
        """
        if not self.unchanged_answers:
            return 0
        doublings = min(self.unchanged_answers - 1, BACKOFF_DOUBLINGS_MAX)
        return min(UNCHANGED_BACKOFF_MAX_NS, BACKOFF_FIRST_NS << doublings)

    def on_answer(self, now, status, body):
        """Handle an answer that arrived at `now`, ns: HTTP status and body as bytes.

        Returns:
            A ListUpdate, or None if nothing changed.

        Raises:
            UnreadableListError: it is not a list, or only changes where the complete list was requested.
        """
        answer = self.decode(status, body)
        self.failures = 0
        unchanged = answer.revision <= self.revision and now < self.requested_at + IMMEDIATE_ANSWER_NS
        self.unchanged_answers = self.unchanged_answers + 1 if unchanged else 0
        if not answer.complete and self.needs_whole_list:
            raise UnreadableListError("received changes instead of the complete list")
        if answer.revision < self.revision and not self.accept_older(now, answer.complete):
            return None
        self.revision = answer.revision
        self.needs_whole_list = False
        self.stale_since = None
        if not answer.complete and not answer.endpoints:
            return None
        return ListUpdate("whole" if answer.complete else "changes", answer.endpoints)

    @staticmethod
    def decode(status, body):
        """Decode the wire.EndpointList of an answer. Raises UnreadableListError."""
        if status != 200 or len(body) > LIST_MAX_BYTES:
            raise UnreadableListError(f"status {status}, {len(body)} bytes")
        try:
            return list_decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise UnreadableListError(str(error)) from None

    def accept_older(self, now, complete):
        """Return whether to accept an answer older than the cached list.

        A lagging agent answers from an older copy, which must not revert a drain that was already received.
        A lagging agent catches up; if answers stay older for STALE_LIST_MAX_NS, the list was restarted with
        lower revisions, and its complete list is accepted.
        """
        if self.stale_since is None:
            self.stale_since = now
        if now - self.stale_since < STALE_LIST_MAX_NS:
            return False
        if not complete:
            self.needs_whole_list = True
            return False
        self.unchanged_answers = 0
        return True

    def on_failure(self):
        """Handle a missing or invalid answer. Returns the backoff before the next request, ns."""
        self.failures += 1
        return min(BACKOFF_MAX_NS, BACKOFF_FIRST_NS << min(self.failures - 1, BACKOFF_DOUBLINGS_MAX))
