"""The commands of `embertray`, by click. Invalid input: one line on standard error and exit code 2."""

import gc
import json
import signal
import sys

import anyio
import click
import h11

from embertray.common import logs
from embertray.common.memory.collector import COLLECTOR_THRESHOLDS
from embertray.common.net.exceptions import AddressError
from embertray.controller.channel.budget import channel_budget
from embertray.service.site import SiteError, load as load_site
from embertray.simulation.emulator.play import play as play_emulated
from embertray.simulation.models.random_streams import RandomStreams
from embertray.simulation.scenarios import notation, player

from .capacity import capacity
from .cluster import cluster
from .control import control
from .emulate import emulate
from .lab import lab
from .operators import fetch_page, send_operator_request
from .standin import InputError, stand_in


@click.group()
@click.option("--log-format", type=click.Choice(["json", "console"]), default="console", show_default=True)
@click.option("--log-level", type=click.Choice(["debug", "info", "warning", "error"]), default="info")
@click.version_option(package_name=None, version="0.2.0", prog_name="embertray")
def main(log_format, log_level):
    """Publishes routing tables to a fleet of plain proxies."""
    logs.configure_logging(log_format, log_level)


main.add_command(stand_in)
main.add_command(emulate)
main.add_command(lab)
main.add_command(cluster)
main.add_command(control)
main.add_command(capacity)


@main.command()
@click.argument("site", type=click.Path())
@click.option("--controller", "name", help="Which of the site's controllers this is; default: the first.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--loop", type=click.Choice(["asyncio", "uvloop"]), default="uvloop", show_default=True)
def serve(site, name, seed, loop):
    """Run one controller of SITE.xml until SIGTERM or SIGINT."""
    from embertray.common.net.clock import LoopClock
    from embertray.common.net.tcp import TcpNet
    from embertray.common.snapshots import DurableSnapshots, FolderLockedError, InMemorySnapshots
    from embertray.service.daemon import Service

    description = read_site(site)
    try:
        me = description.controller(name or description.controllers[0].name)
    except SiteError as error:
        raise InputError(str(error)) from None
    gc.freeze()  # imported objects live as long as the process
    gc.set_threshold(*COLLECTOR_THRESHOLDS)
    snapshot_store = DurableSnapshots(description.keep) if description.keep else InMemorySnapshots()

    async def run():
        service = Service(
            description,
            me,
            LoopClock(),
            TcpNet(),
            snapshot_store,
            seed,
            RandomStreams(seed).of("cuts", me.name).random,
        )
        async with anyio.create_task_group() as group:
            group.start_soon(stop_on_signal, service, group.cancel_scope)
            await service.run()
            group.cancel_scope.cancel()

    async def stop_on_signal(service, _):
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                service.stop()

    try:
        anyio.run(run, backend_options={"use_uvloop": loop == "uvloop"})
    except* (OSError, FolderLockedError) as error:
        raise InputError(f"{site}: {error.exceptions[0]}") from None


@main.command()
@click.argument("site", type=click.Path())
def check(site):
    """Check SITE.xml and show how long drains and binds occupy the channel.

    If the description is invalid, exit 2 with file, line and what was expected.
    """
    description = read_site(site)
    click.echo(
        f"{site}: {description.name}: {len(description.zones)} zones, "
        f"{len(description.kinds)} request kinds, {len(description.controllers)} controllers"
    )
    budget = channel_budget(description)
    click.echo(
        f"one drain takes {budget.removal / 1e9:.2f} s of the channel, one bind "
        f"{budget.bind_one / 1e9:.2f} s, binding all "
        f"{budget.bind_all / 1e9:.1f} s"
    )
    for warning in budget.warnings:
        click.echo(f"warning: {warning}", err=True)


@main.command()
@click.argument("site", type=click.Path(), required=False)
@click.option(
    "--admin", help="Operators' address of a running controller; or give its SITE.xml and --controller."
)
@click.option("--controller", "name")
@click.option("--json", "as_json", is_flag=True)
def memory(site, admin, name, as_json):
    """Show the memory of a running controller by purpose, and the actions taken at its caps."""
    if not admin and not site:
        raise InputError("memory: SITE.xml or --admin HOST:PORT is required")
    if not admin:
        description = read_site(site)
        try:
            admin = description.controller(name or description.controllers[0].name).admin
        except SiteError as error:
            raise InputError(str(error)) from None
    try:
        accounts = json.loads(anyio.run(fetch_page, admin, "/memory"))
    except (OSError, AddressError, ValueError, h11.RemoteProtocolError) as error:
        raise InputError(f"{admin}: {error or type(error).__name__}") from None
    if as_json:
        click.echo(json.dumps(accounts))
        return
    click.echo(f"{'purpose':10}{'entries':>10}{'KiB':>10}{'peak':>10}{'cap':>10}{'part':>7}  at the cap")
    for row in accounts["purposes"]:
        action = f"{row['action']}, {row['done']} so far" if row["acts"] else row["action"]
        click.echo(
            f"{row['purpose']:10}{row['entries']:10}{row['bytes'] / 1024:10.0f}{row['peak'] / 1024:10.0f}"
            f"{row['cap'] / 1024:10.0f}{row['bytes'] / row['cap']:7.0%}  "
            f"{action}{' (now)' if row['acting'] else ''}"
        )
    click.echo(
        f"resident {accounts['resident'] / 2**20:.1f} MiB, {accounts['at_start'] / 2**20:.1f} at the start, "
        f"{accounts['unaccounted'] / 2**20:.1f} unaccounted"
    )


@main.command()
@click.option("--admin", required=True, help="Operators' address of a running controller.")
@click.option("--pin", help="Pin this service level.")
@click.option("--release", is_flag=True, help="Unpin the level: it follows the measurements again.")
@click.option("--forbid", help="Forbid entering this level.")
@click.option("--allow", help="Allow entering a forbidden level again.")
def status(admin, pin, release, forbid, allow):
    """Show whether a running controller is ready, its service level, and what that level gives up."""
    actions = {"pin": pin, "release": "1" if release else None, "forbid": forbid, "allow": allow}
    query = "&".join(f"{name}={value}" for name, value in actions.items() if value)
    try:
        if query:
            code, body = anyio.run(send_operator_request, admin, "POST", f"/set-level?{query}")
            if code != 200:
                raise InputError(body.decode().strip())
        status, ready = (
            json.loads(anyio.run(fetch_page, admin, "/level")),
            anyio.run(fetch_page, admin, "/ready"),
        )
    except (OSError, AddressError, ValueError, h11.RemoteProtocolError) as error:
        raise InputError(f"{admin}: {error or type(error).__name__}") from None
    lost = "not known" if status["lost_credit"] is None else f"{status['lost_credit']:.1%}"
    click.echo(ready.decode().strip())
    click.echo(
        f"level {status['level']} for {status['for_s']:.0f} s, credit lost {lost}; gives up "
        f"{', '.join(status['gives_up']) or 'nothing'}; {status['changes']} changes so far"
    )
    if status["pinned"]:
        click.echo(f"pinned at {status['pinned']}")
    if status["forbidden"]:
        click.echo(f"forbidden: {', '.join(status['forbidden'])}")


@main.command()
def days():
    """List the built-in days."""
    for name in notation.names():
        click.echo(f"{name:24} {notation.load(name).about}")


@main.command()
@click.argument("day")
@click.option(
    "--virtual", "mode", flag_value="virtual", default="virtual", help="In memory, in virtual time (default)."
)
@click.option(
    "--sockets", "mode", flag_value="sockets", help="Loopback TCP in real time, controllers as processes."
)
@click.option(
    "--processes",
    "mode",
    flag_value="processes",
    help="As --sockets, with a cluster, and with faults on the links between the processes.",
)
@click.option("--alone", is_flag=True, help="With --processes: without the cluster that the day configures.")
@click.option(
    "--logs",
    type=click.Path(file_okay=False),
    help="With --processes: folder in which site descriptions and logs are kept.",
)
@click.option("--emulated", "mode", flag_value="emulated", help="Without streams, request by request.")
@click.option("--flows", "mode", flag_value="flows", help="Without streams, requests as aggregate flows.")
@click.option("--json", "as_json", is_flag=True, help="The result as one JSON object.")
@click.option("--seed", type=int, default=1, show_default=True)
def play(day, mode, alone, logs, as_json, seed):
    """Play DAY (a name from `embertray days`, or a file) against the real controller.

    Exit code 0 when all rules are kept, 1 when one is broken, 2 on invalid input.
    """
    on_progress = progress() if sys.stderr.isatty() and not as_json else None
    try:
        script = notation.load(day)
        if mode in ("emulated", "flows"):
            result = play_emulated(script, seed, "flows" if mode == "flows" else "reqs", progress=on_progress)
        else:
            result = player.play(script, mode, seed, on_progress, alone=alone, logs=logs)
    except (notation.DayError, SiteError) as error:
        raise InputError(str(error)) from None
    summary = result.as_json()
    if as_json:
        click.echo(json.dumps(summary))
    else:
        click.echo(
            f"{script.name} ({mode}, seed {seed}): credit {summary['credit']:.3f} of {summary['reqs']} reqs, "
            f"{summary['wall_s']} s"
        )
        for kind, credit in summary["credit_by_kind"].items():
            click.echo(f"  {kind:12} {credit:.3f}")
        spread = summary["spread_ms"]
        if spread["count"]:
            click.echo(f"  changed tables: {spread['count']}, p50 {spread['p50']} ms, max {spread['max']} ms")
        for verdicts, violations in (
            (summary["rules"], result.violations),
            (result.claims or {}, result.claim_violations),
        ):
            for rule, verdict in verdicts.items():
                click.echo(
                    f"  {rule:12} {verdict}" + "".join(f"\n    {text}" for text in violations[rule][:3])
                )
        for name, usage in (result.process_usage or {}).items():
            click.echo(
                f"  {name}: CPU {usage['cpu']:.1%}, {usage['rss'] / 2**20:.0f} MiB, cluster "
                f"{usage['sent']} bytes/s"
            )
    sys.exit(0 if result.kept else 1)


def progress():
    """Returns a function (simulated seconds, last second, requests) that prints one progress line."""

    def on_progress(now, end, reqs):
        click.echo(f"\r{now:6.0f} of {end:.0f} s, {reqs} reqs ended ", nl=False, err=True)
        if now >= end:
            click.echo("\r" + " " * 50 + "\r", nl=False, err=True)

    return on_progress


def read_site(path):
    """Returns the Site that a file describes. Raises InputError."""
    try:
        return load_site(path)
    except SiteError as error:
        raise InputError(str(error)) from None
