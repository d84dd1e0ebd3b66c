"""HTTP client of `embertray control`: follows the leader, and retries a write under its request id."""

import time

import anyio
import msgspec

from embertray.cluster.replication.api_messages import OutcomeUnknown, Rejected, decode_answer
from embertray.common.net.exceptions import CallError
from embertray.common.net.http_client import HttpConnection
from embertray.common.net.tcp import TcpNet

NS_PER_S = 10**9
CONNECT_TIMEOUT_NS = 1 * NS_PER_S
SEND_TIMEOUT_NS = 5 * NS_PER_S
ANSWER_TIMEOUT_NS = 8 * NS_PER_S  # a replica answers a write within 5 s, even if the outcome is unknown
MAX_ANSWER_BYTES = 1 << 20
RETRY_PAUSE_S = 0.3  # before a retry, unless it goes to a leader that the last answer named
TRANSIENT_REASONS = ("NotLeader", "NoMajority", "Overloaded")  # rejections after which a retry may succeed
MAX_ERROR_TEXT = 200  # characters shown of an answer that can't be decoded


class UnreachableError(Exception):
    """No replica could be reached."""


async def ask(admin, method, target, body=b""):
    """Makes one request.

    Args:
        admin: operators' address of a replica.
        method: HTTP method.
        target: path and query.
        body: bytes.

    Returns:
        (status, body).

    Raises:
        UnreachableError: there was no answer.
    """
    try:
        return await call(admin, method, target, body)
    except CallError as failure:
        raise UnreachableError(f"{admin}: {failure}") from None


async def call(admin, method, target, body=b""):
    """Like `ask`, but raises CallError, which tells whether the request may have been received."""
    connection = await HttpConnection.dial(TcpNet(), admin, CONNECT_TIMEOUT_NS)
    try:
        await connection.send_request(method, target, SEND_TIMEOUT_NS, body, "application/octet-stream")
        return await connection.read_response(ANSWER_TIMEOUT_NS, MAX_ANSWER_BYTES)
    finally:
        await connection.aclose()


async def write(admin, method, target, body, timeout):
    """Makes a write: follows the leader, and retries while the outcome may change.

    An attempt whose outcome is unknown may still be committed. A later transient rejection does not settle
    it, and the outcome stays unknown; any other answer under the same request id does.

    Args:
        admin: operators' address of the replica that is asked first.
        method: HTTP method.
        target: path and query, with the request id.
        body: bytes.
        timeout: seconds within which further attempts begin.

    Returns:
        Committed, Rejected or OutcomeUnknown.

    Raises:
        UnreachableError: no replica ever received the request.
    """
    deadline = time.monotonic() + timeout
    address = admin
    unknown = None
    while True:
        outcome, failure = await _attempt(address, method, target, body)
        if isinstance(outcome, OutcomeUnknown):
            unknown = outcome
        if not is_retryable(outcome) or time.monotonic() > deadline:
            break
        leader = outcome.leader if isinstance(outcome, Rejected) else ""
        if not leader or leader == address:
            await anyio.sleep(RETRY_PAUSE_S)
        address = leader or admin
    if unknown is not None and is_retryable(outcome):
        return unknown
    if outcome is None:
        raise UnreachableError(failure)
    return outcome


async def _attempt(address, method, target, body):
    """Returns (outcome, "") or, if the call failed, (OutcomeUnknown, or None if nothing was sent; reason)."""
    try:
        return read_outcome(*await call(address, method, target, body)), ""
    except CallError as error:
        failure = f"{address}: {error}"
        return (OutcomeUnknown(failure) if error.sent else None), failure


def is_retryable(outcome):
    """Whether a retry of the call may have another outcome; `outcome` None: it was not received."""
    if isinstance(outcome, Rejected):
        return outcome.reason in TRANSIENT_REASONS
    return outcome is None or isinstance(outcome, OutcomeUnknown)


def read_outcome(status, body):
    """Returns the outcome of a write from its HTTP status and body: Rejected if it can't be decoded."""
    try:
        return decode_answer(body)
    except msgspec.DecodeError:
        text = body.decode("utf-8", "replace").strip()
        return Rejected("BadCall", f"status {status}: {text[:MAX_ERROR_TEXT]}")
