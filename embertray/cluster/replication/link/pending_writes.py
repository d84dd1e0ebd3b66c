"""Calls that write: what is refused before it reaches the core, and what a caller waits for."""

from dataclasses import dataclass, field

import anyio

from embertray.cluster.replication.entry import KEY_BYTES_MOST
from embertray.cluster.replication.replica_types import WriteRejected

REQUEST_BYTES_MOST = 64


class BadKey(WriteRejected):
    """No key can have this name."""


class BadRequest(WriteRejected):
    """No call can have this id."""


class TooLarge(WriteRejected):
    """The value does not fit into one update."""


class VersionNotKept(WriteRejected):
    """The key's value at that version is not known any more, or never was."""


class OutcomeUnknown(Exception):
    """The write may have been taken or not. The same request id finds out, and writes it only once."""


def check_write(key, value, request, value_most):
    """Raises WriteRejected for what can't be written."""
    if not key or len(key.encode()) > KEY_BYTES_MOST:
        raise BadKey(f"a key has 1 to {KEY_BYTES_MOST} bytes")
    if not request or len(request.encode()) > REQUEST_BYTES_MOST:
        raise BadRequest(f"a request id has 1 to {REQUEST_BYTES_MOST} bytes")
    if value is not None and len(value) > value_most:
        raise TooLarge(f"{len(value)} bytes, {value_most} at most")


@dataclass
class Call:
    """One caller that waits. `revision`: of its write, once it is proposed."""

    request: str
    done: anyio.Event = field(default_factory=anyio.Event)
    revision: int | None = None
    failure: Exception | None = None

    def succeed(self):
        """The write at `revision` is committed."""
        self.done.set()

    def fail(self, failure):
        """The write was refused, or its outcome can't be known here."""
        self.failure = failure
        self.done.set()

    async def result(self, within):
        """The revision. Raises WriteRejected, or OutcomeUnknown after `within` seconds."""
        with anyio.move_on_after(within):
            await self.done.wait()
        if not self.done.is_set():
            raise OutcomeUnknown(f"no majority confirmed it within {within} s")
        if self.failure is not None:
            raise self.failure
        return self.revision
