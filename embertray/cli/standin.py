"""`embertray stand-in backend|proxy|inventory`: runs one stand-in on loopback."""

import sys

import anyio
import click

from embertray.common.net.clock import LoopClock
from embertray.common.net.exceptions import AddressError
from embertray.common.net.tcp import TcpNet
from embertray.service.site import SiteError, load as load_site
from embertray.simulation.models.backend import Backend, Shape
from embertray.simulation.models.random_streams import RandomStreams
from embertray.simulation.standins.backend import StandinBackend
from embertray.simulation.standins.client import StandinClients
from embertray.simulation.standins.inventory import StandinInventory
from embertray.simulation.standins.proxy import StandinProxy
from embertray.simulation.standins.scheduler import Scheduler

NS_PER_SECOND = 10**9


class InputError(click.ClickException):
    """Invalid input: click prints the message on standard error and exits with code 2."""

    exit_code = 2


def run_until_interrupted(main):
    """Runs an async function until its end or Ctrl-C. Raises InputError for an OSError or AddressError."""
    try:
        anyio.run(main)
    except* KeyboardInterrupt:
        pass
    except* (OSError, AddressError) as error:
        raise InputError(str(error.exceptions[0])) from None


def print_line(text):
    """Prints a line and flushes it, so that a reader of a pipe gets it at once."""
    click.echo(text)
    sys.stdout.flush()


@click.group("stand-in")
def stand_in():
    """Run one stand-in until interrupted."""


@stand_in.command()
@click.option("--listen", default="127.0.0.1:0", show_default=True)
@click.option("--cores", default=2, show_default=True)
@click.option("--speed", default=1.0, show_default=True)
@click.option("--cold", is_flag=True, help="Start cold; the warm-up takes --warm seconds.")
@click.option("--warm", default=10.0, show_default=True)
def backend(listen, cores, speed, cold, warm):
    """Run a backend that serves requests."""

    async def main():
        scheduler = Scheduler(LoopClock())
        backend = StandinBackend(
            Backend(listen, "", Shape(cores, speed, warm_up_time=int(warm * NS_PER_SECOND))),
            TcpNet(),
            scheduler,
            RandomStreams(1).of("failing").random,
        )
        async with anyio.create_task_group() as group:
            print_line(f"backend listens on {await group.start(backend.run)}")
            backend.start(cold)

    run_until_interrupted(main)


@stand_in.command()
@click.argument("backends", nargs=-1, required=True)
@click.option("--listen", default="127.0.0.1:0", show_default=True)
def inventory(backends, listen):
    """Run an inventory that lists BACKENDS, each ADDRESS=ZONE.

    Lines on standard input change the list: ADDRESS ZONE ready|draining|gone.
    """
    endpoints = [text.rpartition("=")[::2] for text in backends]
    if invalid := next(
        (text for text, (address, zone) in zip(backends, endpoints, strict=False) if not address or not zone),
        None,
    ):
        raise InputError(f"'{invalid}' is not ADDRESS=ZONE")

    async def main():
        scheduler = Scheduler(LoopClock())
        standin = StandinInventory(TcpNet(), scheduler)
        async with anyio.create_task_group() as group:
            print_line(f"inventory listens on {await group.start(standin.run, listen)}")
            for address, zone in endpoints:
                standin.list(address, zone)
            while row := await anyio.to_thread.run_sync(sys.stdin.readline, abandon_on_cancel=True):
                words = row.split()
                if len(words) == 3 and words[2] in ("ready", "draining", "gone"):
                    standin.list(*words, scheduler.now() if words[2] == "ready" else 0)
                    print_line(f"epoch {standin.epoch}: {row.strip()}")
                elif words:
                    click.echo("expected: ADDRESS ZONE ready|draining|gone", err=True)
            await anyio.sleep_forever()

    run_until_interrupted(main)


@stand_in.command()
@click.argument("site", type=click.Path())
@click.option("--name", default="p1", show_default=True)
@click.option("--zone", help="Default: the site's first zone.")
@click.option("--rate", default=10.0, show_default=True, help="Requests per second of its clients.")
@click.option("--seconds", default=3600.0, show_default=True)
def proxy(site, name, zone, rate, seconds):
    """Run a plain proxy of SITE.xml with clients; print the outcomes of their requests each second."""
    try:
        description = load_site(site)
    except SiteError as error:
        raise InputError(str(error)) from None

    async def main():
        scheduler, streams, counts = (
            Scheduler(LoopClock()),
            RandomStreams(1),
            {"done": 0, "late": 0, "lost": 0},
        )
        proxy = StandinProxy(
            name,
            zone or description.zones[0],
            description,
            [c.listen for c in description.controllers],
            TcpNet(),
            scheduler,
            streams.of("proxy"),
            rate,
        )

        def count_outcome(_, __, ___, outcome, ____):
            counts[outcome] += 1

        mix = [(kind, 1 / len(description.kinds), kind.latency_objective // 10) for kind in description.kinds]
        clients = StandinClients(
            1, mix, lambda _: rate, TcpNet(), scheduler, streams.of("clients"), on_ended=count_outcome
        )
        async with anyio.create_task_group() as group:
            address = await group.start(proxy.run)
            print_line(f"proxy {name} listens on {address}")
            group.start_soon(print_counts, proxy, counts)
            await clients.run(address, scheduler.now() + int(seconds * NS_PER_SECOND))
            group.cancel_scope.cancel()

    async def print_counts(proxy, counts):
        while True:
            await anyio.sleep(1)
            print_line(
                f"{'joined' if proxy.joined else 'alone'}, "
                f"{len(proxy.routing_state.routable_lines())} lines, "
                + ", ".join(f"{outcome} {n}" for outcome, n in counts.items())
            )

    run_until_interrupted(main)
