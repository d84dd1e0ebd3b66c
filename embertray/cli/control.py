"""`embertray control`: runs a control replica; reads and writes its configuration."""

import json
import signal
import sys
from pathlib import Path
from urllib.parse import quote

import anyio
import click

from embertray.service.site import SiteError, load as load_site

from .control_calls import REJECTED_EXIT_CODE, ask, body_text, parse_json, read_answer, write
from .control_status import describe
from .standin import InputError

admin_option = click.option(
    "--admin", required=True, help="Operators' address of any replica; the leader is found from it."
)
request_option = click.option(
    "--request",
    help="Request id: a write that is repeated under the same id is made only once. Default: a new id.",
)
within_option = click.option(
    "--within",
    type=click.FloatRange(min=0),
    default=15.0,
    show_default=True,
    help="Seconds within which a write is retried; the default is enough for two elections.",
)


@click.group()
def control():
    """Run a control replica; read and write the replicated configuration."""


@control.command()
@click.argument("site", type=click.Path())
@click.option("--replica", "name", required=True, help="Which of the site's replicas this is.")
@click.option("--seed", type=int, default=1, show_default=True)
def serve(site, name, seed):
    """Run one control replica of SITE.xml until SIGTERM or SIGINT."""
    from embertray.cluster.replication.exceptions import StateNotSavedError
    from embertray.common.net.clock import LoopClock
    from embertray.common.net.tcp import TcpNet
    from embertray.common.snapshots import FolderLockedError
    from embertray.service.daemon.control import ReplicaProcess

    site_control, me = _replica_of(site, name)

    async def run():
        process = ReplicaProcess(site_control, me, LoopClock(), TcpNet(), seed)
        async with anyio.create_task_group() as group:
            group.start_soon(_stop_on_signal, process)
            await process.run()
            group.cancel_scope.cancel()

    try:
        anyio.run(run, backend_options={"use_uvloop": True})
    except* (OSError, FolderLockedError) as errors:
        raise InputError(f"{site}: {_first_error(errors)}") from None
    except* StateNotSavedError as errors:
        raise click.ClickException(f"the state can't be saved: {_first_error(errors)}") from None


@control.command()
@admin_option
@click.option("--json", "as_json", is_flag=True)
def status(admin, as_json):
    """Show the status of a replica, or of a controller's subscriber."""
    code, body = ask(admin, "GET", "/control")
    if code != 200:
        raise InputError(f"{admin}: {body_text(body)}")
    answer = parse_json(admin, body)
    click.echo(json.dumps(answer) if as_json else "\n".join(describe(answer)))


@control.command()
@click.argument("key")
@admin_option
@click.option(
    "--json", "as_json", is_flag=True, help="Print JSON with revision and age; the value as base64."
)
@click.option("--versions", is_flag=True, help="Print the kept versions instead of the value.")
def get(key, admin, as_json, versions):
    """Print the value of KEY that is in force at a replica or a controller."""
    page = "versions" if versions else "key"
    code, body = ask(admin, "GET", f"/control/{page}?key={quote(key, safe='')}")
    answer = read_answer(admin, code, body)
    if answer["type"] == "missing":
        click.echo(f"{key}: there is no such key", err=True)
        sys.exit(REJECTED_EXIT_CODE)
    if as_json:
        click.echo(json.dumps(answer))
    elif versions:
        for version in answer["versions"]:
            size = "removed" if version["bytes"] is None else f"{version['bytes']} bytes"
            click.echo(f"{version['revision']} {size}")
    else:
        from embertray.cluster.replication.api_messages import decode_answer

        click.get_binary_stream("stdout").write(decode_answer(body).value)


@control.command()
@click.argument("key")
@click.argument("file", type=click.Path())
@admin_option
@request_option
@within_option
@click.option(
    "--expected",
    type=click.IntRange(0),
    help="Reject the write unless KEY is at this revision; 0: KEY must be new.",
)
def put(key, file, admin, request, within, expected):
    """Write the bytes of FILE ('-': standard input) as KEY."""
    try:
        value = sys.stdin.buffer.read() if file == "-" else Path(file).read_bytes()
    except OSError as error:
        raise InputError(f"{file}: {error.strerror or error}") from None
    parameters = {} if expected is None else {"expected": expected}
    write(admin, "PUT", "/control/key", key, request, within, parameters, value)


@control.command()
@click.argument("key")
@click.argument("version", type=click.IntRange(1))
@admin_option
@request_option
@within_option
def rollback(key, version, admin, request, within):
    """Write the value that KEY had at VERSION as its newest version."""
    write(admin, "POST", "/control/rollback", key, request, within, {"version": version})


@control.command()
@click.argument("key")
@admin_option
@request_option
@within_option
def remove(key, admin, request, within):
    """Remove KEY."""
    write(admin, "DELETE", "/control/key", key, request, within, {})


def _replica_of(site, name):
    """Returns the site's ControlSettings and the SiteReplica of that name. Raises InputError."""
    try:
        site_control = load_site(site).control
        if site_control is None:
            raise SiteError(f"{site}: the site has no <control>")
        return site_control, site_control.replica(name)
    except SiteError as error:
        raise InputError(str(error)) from None


async def _stop_on_signal(process):
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            process.stop()


def _first_error(group):
    """Returns the first exception in nested exception groups."""
    while isinstance(group, BaseExceptionGroup):
        group = group.exceptions[0]
    return group
