"""HTTP calls of the `embertray control` commands, with one line and an exit code for each outcome."""

import json
import sys
import uuid
from urllib.parse import urlencode

import anyio
import click

from embertray.common.net.address import parse_loopback
from embertray.common.net.exceptions import AddressError

from .standin import InputError

REJECTED_EXIT_CODE = 1
UNKNOWN_EXIT_CODE = 3  # 2: invalid input, or no replica could be reached


def write(admin, method, path, key, request, within, parameters, value=b""):
    """Makes a write, prints its outcome in one line, and exits unless it is committed.

    Args:
        admin: operators' address of any replica.
        method: HTTP method.
        path: path of the page.
        key: name of the key.
        request: request id; None for a new one.
        within: seconds within which attempts begin.
        parameters: further parameters of the query.
        value: bytes to write.

    Raises:
        InputError: the address is invalid, or no replica could be reached.
    """
    from embertray.service.admin.control_client import UnreachableError, write as write_at_leader

    request = request or uuid.uuid4().hex
    _check_address(admin)
    target = f"{path}?{urlencode({'key': key, 'request': request, **parameters})}"
    try:
        outcome = anyio.run(write_at_leader, admin, method, target, value, within)
    except UnreachableError as error:
        raise InputError(str(error)) from None
    _report(key, request, outcome)


def _report(key, request, outcome):
    from embertray.cluster.replication.api_messages import Committed, Rejected

    if isinstance(outcome, Committed):
        click.echo(f"{key}: committed at revision {outcome.revision}")
    elif isinstance(outcome, Rejected):
        click.echo(f"{key}: refused, nothing is written: {outcome.text} ({outcome.reason})", err=True)
        sys.exit(REJECTED_EXIT_CODE)
    else:
        click.echo(
            f"{key}: unknown whether it is written: {outcome.text}; repeat it with --request {request}",
            err=True,
        )
        sys.exit(UNKNOWN_EXIT_CODE)


def ask(admin, method, target):
    """Makes one request.

    Args:
        admin: operators' address of a replica or controller.
        method: HTTP method.
        target: path and query.

    Returns:
        (status, body).

    Raises:
        InputError: the address is invalid, or there was no answer.
    """
    from embertray.service.admin.control_client import UnreachableError, ask as ask_replica

    _check_address(admin)
    try:
        return anyio.run(ask_replica, admin, method, target)
    except UnreachableError as error:
        raise InputError(str(error)) from None


def read_answer(admin, status, body):
    """Returns the JSON answer to a read as a dict.

    Raises:
        InputError: the status is neither 200 nor 404 (no such key), or the body is no JSON object.
    """
    if status not in (200, 404) or not body.startswith(b"{"):
        raise InputError(f"{admin}: {body_text(body)}")
    return parse_json(admin, body)


def parse_json(admin, body):
    """Returns the content of a JSON body. Raises InputError."""
    try:
        return json.loads(body)
    except ValueError:
        raise InputError(f"{admin}: the answer is not JSON") from None


def body_text(body):
    """Returns a body as text for people."""
    return body.decode("utf-8", "replace").strip()


def _check_address(admin):
    try:
        parse_loopback(admin)
    except AddressError as error:
        raise InputError(f"--admin: {error}") from None
