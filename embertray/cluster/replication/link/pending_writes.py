"""Client writes that wait for a majority, and validation of their arguments."""

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
        request: request id of the client's call.
        max_value_bytes: largest accepted value, bytes.

    Raises:
        BadKeyError: the key is empty or too long.
        BadRequestError: the request id is empty or too long.
        TooLargeError: the value is too large.
    """
    if not key or len(key.encode()) > MAX_KEY_BYTES:
        raise BadKeyError(f"a key has 1 to {MAX_KEY_BYTES} bytes")
    if not request or len(request.encode()) > MAX_REQUEST_ID_BYTES:
        raise BadRequestError(f"a request id has 1 to {MAX_REQUEST_ID_BYTES} bytes")
    if value is not None and len(value) > max_value_bytes:
        raise TooLargeError(f"{len(value)} bytes, {max_value_bytes} at most")


@dataclass
class PendingWrite:
    """A client call that waits for its outcome.

    Attributes:
        request: request id of the call.
        done: set once the outcome is known.
        revision: revision of the write; None until it is proposed.
        error: the exception to raise if the write failed; else None.
    """

    request: str
    done: anyio.Event = field(default_factory=anyio.Event)
    revision: int | None = None
    error: Exception | None = None

    def succeed(self):
        """Reports that the write was committed at `revision`."""
        self.done.set()

    def fail(self, error):
        """Reports that the write was rejected, or that its outcome cannot be determined here."""
        self.error = error
        self.done.set()

    async def result(self, timeout):
        """Waits for the outcome.

        Args:
            timeout: seconds.

        Returns:
            The revision of the committed write.

        Raises:
            WriteRejectedError: the write has no effect.
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
    """The calls whose write was proposed but is not known to be committed."""

    def __init__(self):
        self._writes = []

    def __len__(self):
        return len(self._writes)

    def add(self, write):
        """Adds a PendingWrite that was proposed."""
        self._writes.append(write)

    def resolve(self, store):
        """Completes the calls whose revision the VersionedStore has reached.

        If another leader's entry has that revision, the write was replaced before it was committed. It does
        not count as rejected, as it may have been proposed again with its request id.
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
        """Fails all pending calls, as their outcome can no longer be determined here."""
        for write in self._writes:
            write.fail(OutcomeUnknownError(reason))
        self._writes = []
