"""Client writes that wait for a majority, and what is rejected before it reaches the replica."""

from dataclasses import dataclass, field

import anyio

from embertray.cluster.replication.entry import MAX_KEY_BYTES
from embertray.cluster.replication.exceptions import (
    BadKeyError,
    BadRequestError,
    OutcomeUnknownError,
    TooLargeError,
)

MAX_REQUEST_ID_BYTES = 64


def check_write(key, value, request, max_value_bytes):
    """Checks the arguments of a write.

    Args:
        key: name of the key.
        value: bytes, None for a removal.
        request: id of the client's call.
        max_value_bytes: size of the largest value that is accepted.

    Raises:
        BadKeyError: the key is empty or too long.
        BadRequestError: the request id is empty or too long.
        TooLargeError: the value is.
    """
    if not key or len(key.encode()) > MAX_KEY_BYTES:
        raise BadKeyError(f"a key has 1 to {MAX_KEY_BYTES} bytes")
    if not request or len(request.encode()) > MAX_REQUEST_ID_BYTES:
        raise BadRequestError(f"a request id has 1 to {MAX_REQUEST_ID_BYTES} bytes")
    if value is not None and len(value) > max_value_bytes:
        raise TooLargeError(f"{len(value)} bytes, {max_value_bytes} at most")


@dataclass
class PendingWrite:
    """One client call.

    Attributes:
        request: its id.
        done: set once the outcome is known.
        revision: of its write, once it is proposed.
        error: why it failed, once it has.
    """

    request: str
    done: anyio.Event = field(default_factory=anyio.Event)
    revision: int | None = None
    error: Exception | None = None

    def succeed(self):
        """The write at `revision` is committed."""
        self.done.set()

    def fail(self, error):
        """The write was rejected, or its outcome can't be known here."""
        self.error = error
        self.done.set()

    async def result(self, timeout):
        """Waits for the outcome.

        Args:
            timeout: seconds.

        Returns:
            The revision of the committed write.

        Raises:
            WriteRejectedError: it has no effect.
            OutcomeUnknownError: no majority confirmed it in time, or another leader took over.
        """
        with anyio.move_on_after(timeout):
            await self.done.wait()
        if not self.done.is_set():
            raise OutcomeUnknownError(f"no majority confirmed it within {timeout} s")
        if self.error is not None:
            raise self.error
        return self.revision


class PendingWrites:
    """All calls whose write was proposed and is not yet known to be committed."""

    def __init__(self):
        self._writes = []

    def __len__(self):
        return len(self._writes)

    def add(self, write):
        """Takes a PendingWrite whose revision is known."""
        self._writes.append(write)

    def resolve(self, store):
        """Answers the calls whose revision the VersionedStore has reached.

        The revision may hold another leader's entry: then the write was overwritten before it was committed.
        It is not rejected, as it may have been proposed again under its request id.
        """
        waiting = []
        for write in self._writes:
            if write.done.is_set():
                continue
            if write.revision > store.revision:
                waiting.append(write)
            elif store.requests.get(write.request) == write.revision:
                write.succeed()
            else:
                write.fail(OutcomeUnknownError("another leader's write took its place"))
        self._writes = waiting

    def fail_all(self, reason):
        """No outcome will be known here any more."""
        for write in self._writes:
            write.fail(OutcomeUnknownError(reason))
        self._writes = []
