"""`embertray control`: run a control replica, read and write what it keeps."""

import json
import signal
import sys
import uuid
from pathlib import Path
from urllib.parse import quote, urlencode

import anyio
import click

from embertray.common.net.address import parse_loopback
from embertray.common.net.exceptions import AddressError
from embertray.service.site import SiteError, load as load_site

from .standin import Bad

REFUSED, UNKNOWN = 1, 3  # exit codes
admin_option = click.option(
    "--admin", required=True, help="A replica's operators' address; the leader is found from any."
)
request_option = click.option(
    "--request", help="Id of this call: said again with the same id, it writes only once. Default: a new one."
)
within_option = click.option(
    "--within",
    type=click.FloatRange(min=0),
    default=15.0,
    show_default=True,
    help="Seconds in which a write is tried again: two elections.",
)


@click.group()
def control():
    """Configuration kept by control replicas."""


@control.command()
@click.argument("site", type=click.Path())
@click.option("--replica", "name", required=True, help="Which of the site's replicas this is.")
@click.option("--seed", type=int, default=1, show_default=True)
def serve(site, name, seed):
    """Run one control replica of SITE.xml until SIGTERM or SIGINT."""
    from embertray.cluster.replication.link.replica_server import StateNotSaved
    from embertray.common.net.clock import LoopClock
    from embertray.common.net.tcp import TcpNet
    from embertray.common.snapshots import FolderLockedError
    from embertray.service.daemon.control import ReplicaProcess

    description, me = _replica_of(site, name)

    async def run():
        process = ReplicaProcess(description, me, LoopClock(), TcpNet(), seed)
        async with anyio.create_task_group() as group:
            group.start_soon(_stop_on_signal, process)
            await process.run()
            group.cancel_scope.cancel()

    try:
        anyio.run(run, backend_options={"use_uvloop": True})
    except* (OSError, FolderLockedError) as wrong:
        raise Bad(f"{site}: {_first(wrong)}") from None
    except* StateNotSaved as wrong:
        raise click.ClickException(f"the state can't be saved: {_first(wrong)}") from None


@control.command()
@admin_option
@click.option("--json", "as_json", is_flag=True)
def status(admin, as_json):
    """What a replica, or a controller, says of the control plane."""
    code, body = _ask(admin, "GET", "/control")
    if code != 200:
        raise Bad(f"{admin}: {body.decode('utf-8', 'replace').strip()}")
    status = _json(admin, body)
    click.echo(json.dumps(status) if as_json else "\n".join(describe(status)))


@control.command()
@click.argument("key")
@admin_option
@click.option("--json", "as_json", is_flag=True, help="With revision and age; the value as base64.")
@click.option("--versions", is_flag=True, help="The versions that are kept, in place of the value.")
def get(key, admin, as_json, versions):
    """Print the value of KEY that is in force at a replica or a controller."""
    page = "versions" if versions else "key"
    code, body = _ask(admin, "GET", f"/control/{page}?key={quote(key, safe='')}")
    answer = _answer(admin, code, body)
    if answer["type"] == "missing":
        click.echo(f"{key}: there is no such key", err=True)
        sys.exit(REFUSED)
    if as_json:
        click.echo(json.dumps(answer))
    elif versions:
        for one in answer["versions"]:
            click.echo(
                f"{one['revision']} " + ("removed" if one["bytes"] is None else f"{one['bytes']} bytes")
            )
    else:
        from embertray.cluster.replication.operations import decode_answer

        click.get_binary_stream("stdout").write(decode_answer(body).value)


@control.command()
@click.argument("key")
@click.argument("file", type=click.Path())
@admin_option
@request_option
@within_option
@click.option("--expected", type=click.IntRange(0), help="Refuse unless KEY is at this revision; 0: new.")
def put(key, file, admin, request, within, expected):
    """Write the bytes of FILE ('-': standard input) as KEY."""
    try:
        value = sys.stdin.buffer.read() if file == "-" else Path(file).read_bytes()
    except OSError as wrong:
        raise Bad(f"{file}: {wrong.strerror or wrong}") from None
    more = {} if expected is None else {"expected": expected}
    _write(admin, "PUT", "/control/key", key, request, within, more, value)


@control.command()
@click.argument("key")
@click.argument("version", type=click.IntRange(1))
@admin_option
@request_option
@within_option
def rollback(key, version, admin, request, within):
    """Write the value that KEY had at VERSION again, as its newest."""
    _write(admin, "POST", "/control/rollback", key, request, within, {"version": version})


@control.command()
@click.argument("key")
@admin_option
@request_option
@within_option
def remove(key, admin, request, within):
    """Remove KEY."""
    _write(admin, "DELETE", "/control/key", key, request, within, {})


def _write(admin, method, path, key, request, within, more, value=b""):
    """Writes, says what came of it in one line, and ends with its exit code."""
    from embertray.service.admin.control_client import Unreachable, write

    request = request or uuid.uuid4().hex
    _check_address(admin)
    target = f"{path}?{urlencode({'key': key, 'request': request, **more})}"
    try:
        outcome = anyio.run(write, admin, method, target, value, within)
    except Unreachable as wrong:
        raise Bad(str(wrong)) from None
    kind = type(outcome).__name__
    if kind == "Committed":
        click.echo(f"{key}: committed at revision {outcome.revision}")
    elif kind == "Refused":
        click.echo(f"{key}: refused, nothing is written: {outcome.text} ({outcome.reason})", err=True)
        sys.exit(REFUSED)
    else:
        click.echo(
            f"{key}: unknown whether it is written: {outcome.text}; ask again with --request {request}",
            err=True,
        )
        sys.exit(UNKNOWN)


def _replica_of(site, name):
    """(Control, SiteReplica). Raises Bad."""
    try:
        control_site = load_site(site).control
        if control_site is None:
            raise SiteError(f"{site}: the site has no <control>")
        return control_site, control_site.replica(name)
    except SiteError as wrong:
        raise Bad(str(wrong)) from None


async def _stop_on_signal(process):
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            process.stop()


def _check_address(admin):
    try:
        parse_loopback(admin)
    except AddressError as wrong:
        raise Bad(f"--admin: {wrong}") from None


def _ask(admin, method, target):
    """(status, body) of one request. Raises Bad."""
    from embertray.service.admin.control_client import Unreachable, ask

    _check_address(admin)
    try:
        return anyio.run(ask, admin, method, target)
    except Unreachable as wrong:
        raise Bad(str(wrong)) from None


def _answer(admin, code, body):
    """The typed answer as a dict. Raises Bad for what is none, or refuses what was asked."""
    if code not in (200, 404) or not body.startswith(b"{"):
        raise Bad(f"{admin}: {body.decode('utf-8', 'replace').strip()}")
    return _json(admin, body)


def _json(admin, body):
    try:
        return json.loads(body)
    except ValueError:
        raise Bad(f"{admin}: what it answers is no JSON") from None


def _first(group):
    """The first exception that is no group."""
    while isinstance(group, BaseExceptionGroup):
        group = group.exceptions[0]
    return group


def describe(status):
    """Lines for people, of a ReplicaStatus or SubscriberStatus as JSON."""
    age = "not known" if status["age_s"] is None else f"{status['age_s']:.1f} s"
    if status["type"] == "subscriber":
        how = "follows" if status["connected"] else "NOT CONNECTED, tries"
        return [
            f"{status['name']} in {status['cluster']}: {how} {status['replica']}",
            f"revision {status['revision']}, {status['keys']} keys, age {age}",
        ]
    if status["recovering"]:
        state = "recovering, does not vote"
    elif status["role"] != "leader":
        state = f"{status['role']}, " + (
            f"{status['leader']} leads" if status["leader"] else "NO LEADER KNOWN"
        )
    else:
        state = "leads" if status["has_majority"] else "leads WITHOUT A MAJORITY"
    lines = [
        f"{status['name']} in {status['cluster']}: {state}, term {status['term']}",
        f"revision {status['revision']}, {status['keys']} keys, {status['state_bytes']} bytes, age {age}",
        f"{status['subscribers']} subscribers here hold revision {status['lowest_confirmed']} at the least",
    ]
    if status["fleet_subscribers"] is not None:
        lines.append(
            f"{status['fleet_subscribers']} subscribers in all hold revision "
            f"{status['fleet_lowest_confirmed']} at the least"
        )
    return lines
