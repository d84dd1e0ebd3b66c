"""Calls of `embertray control` to replicas: the leader is followed, and a write is repeated with its id."""

import time

import anyio
import msgspec

from embertray.cluster.replication.operations import Refused, Unknown, decode_answer
from embertray.common.net.exceptions import CallError
from embertray.common.net.http_client import HttpConnection
from embertray.common.net.tcp import TcpNet

S = 10**9
DIAL_WITHIN, ASK_WITHIN = 1 * S, 5 * S  # ns
ANSWER_WITHIN = 8 * S  # ns; a replica answers a write within 5 s, known or not
ANSWER_MOST = 1 << 20  # bytes
PAUSE = 0.3  # s before a try that is not sent to a leader that was just named
MAY_CHANGE = ("NotLeader", "NoMajority", "Overloaded")  # refusals that may be over soon


class Unreachable(Exception):
    """No replica could be asked."""


async def ask(admin, method, target, body=b""):
    """(status, body) of one request. Raises Unreachable."""
    try:
        return await call(admin, method, target, body)
    except CallError as failed:
        raise Unreachable(f"{admin}: {failed}") from None


async def call(admin, method, target, body=b""):
    """(status, body) of one request. Raises CallError."""
    connection = await HttpConnection.dial(TcpNet(), admin, DIAL_WITHIN)
    try:
        await connection.send_request(method, target, ASK_WITHIN, body, "application/octet-stream")
        return await connection.read_response(ANSWER_WITHIN, ANSWER_MOST)
    finally:
        await connection.aclose()


async def write(admin, method, target, body, within):
    """Committed, Refused or Unknown. Follows the leader, and tries again for `within` seconds while that may
    help. Raises Unreachable if nobody ever took the call."""
    ends_at, address, outcome, unsure = time.monotonic() + within, admin, None, None
    while True:
        try:
            outcome = read_outcome(*await call(address, method, target, body))
        except CallError as failed:
            outcome = Unknown(f"{address}: {failed}") if failed.sent else None
            failure = f"{address}: {failed}"
        if isinstance(outcome, Unknown):
            unsure = outcome
        if not may_change(outcome) or time.monotonic() > ends_at:
            break
        leader = outcome.leader if isinstance(outcome, Refused) else ""
        if not leader or leader == address:
            await anyio.sleep(PAUSE)
        address = leader or admin
    if unsure is not None and may_change(outcome):
        return unsure  # a later refusal says nothing of the try before
    if outcome is None:
        raise Unreachable(failure)
    return outcome


def may_change(outcome):
    """Whether the same call may end otherwise when it is made again."""
    if isinstance(outcome, Refused):
        return outcome.reason in MAY_CHANGE
    return outcome is None or isinstance(outcome, Unknown)


def read_outcome(status, body):
    """The typed outcome of a write's answer."""
    try:
        return decode_answer(body)
    except msgspec.DecodeError:
        text = body.decode("utf-8", "replace").strip()
        return Refused("BadCall", f"status {status}: {text[:200]}")
