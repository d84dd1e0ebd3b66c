"""Discovery: what is requested, what an answer means, when to request again.

One request at a time; after the first, each is a watch on the revision that is cached.
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
    """A request to send: its path, and within how many ns its answer must begin."""

    path: str
    first_byte_timeout: int


class ListUpdate(NamedTuple):
    """What an answer tells: `kind` is "whole" or "changes", as in the policy; wire.Endpoint each."""

    kind: str
    endpoints: list


class EndpointListWatch:
    """Follows the list of backends by its revision.

    Attributes:
        revision: Of the list that is cached.
        failures: Requests in a row without an answer that can be read.
        needs_whole_list: Whether the next request wants the whole list.
    """

    def __init__(self, revision=0):
        """`revision`: of the list that the configuration brought, 0 for none."""
        self.revision = revision
        self.failures = 0
        self.needs_whole_list = True
        self.stale_since = None  # ns; since when answers are older than `revision`
        self.requested_at = 0  # ns; when the last request went
        self.unchanged_answers = 0  # in a row, at once and with nothing new

    def next_request(self, now):
        """The ListRequest to send at `now`, ns. The first one wants the whole list, at once."""
        self.requested_at = now
        if self.needs_whole_list:
            return ListRequest(LIST_PATH, LIST_FIRST_BYTE_TIMEOUT_NS)
        path = WATCH_PATH % (self.revision, WATCH_HOLD_NS // NS_PER_MS)
        return ListRequest(path, WATCH_HOLD_NS + LIST_FIRST_BYTE_TIMEOUT_NS)

    def on_address_change(self):
        """Discovery has another address: it is asked for the whole list.

        Revisions are those of one list, wherever it is asked for, so an agent there that lags takes back
        nothing either.
        """
        self.needs_whole_list = True

    def request_delay(self):
        """How long to wait before the next request, ns.

        Against an agent that answers each request at once with what is cached: without a pause, following it
        would take all of the processor's time. The pause stays under the 200 ms within which a watch goes on.
        """
        if not self.unchanged_answers:
            return 0
        doublings = min(self.unchanged_answers - 1, BACKOFF_DOUBLINGS_MAX)
        return min(UNCHANGED_BACKOFF_MAX_NS, BACKOFF_FIRST_NS << doublings)

    def on_answer(self, now, status, body):
        """Read an answer that came at `now`, ns: HTTP status and body as bytes.

        Returns:
            A ListUpdate, or None for nothing new.

        Raises:
            UnreadableListError: it is no list, or only changes where the whole one was requested.
        """
        answer = self.decode(status, body)
        self.failures = 0
        unchanged = answer.revision <= self.revision and now < self.requested_at + IMMEDIATE_ANSWER_NS
        self.unchanged_answers = self.unchanged_answers + 1 if unchanged else 0
        if not answer.complete and self.needs_whole_list:
            raise UnreadableListError("changes where the whole list was asked for")
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
        """The wire.EndpointList in an answer. Raises UnreadableListError."""
        if status != 200 or len(body) > LIST_MAX_BYTES:
            raise UnreadableListError(f"status {status}, {len(body)} bytes")
        try:
            return list_decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise UnreadableListError(str(error)) from None

    def accept_older(self, now, complete):
        """Whether an answer older than the cached list counts.

        Against an agent that answers from an older copy: a drain that was notified must not be taken back. An
        agent catches up; one that stays behind for STALE_LIST_MAX_NS serves a list that began anew, and then
        its whole list counts.
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
        """No answer came, or none that can be read. Returns ns until the next request."""
        self.failures += 1
        return min(BACKOFF_MAX_NS, BACKOFF_FIRST_NS << min(self.failures - 1, BACKOFF_DOUBLINGS_MAX))
