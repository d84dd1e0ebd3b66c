"""One process of a control plane with scaled timings, for tests and fault runs.

It is a control replica, or a subscriber without the rest of a controller.

`python -m embertray.simulation.processes.control_process SITE.xml replica|subscriber NAME --scale 0.2`
"""

import signal

import anyio
import click
import msgspec
import structlog

from embertray.cluster.replication.timing import FeedSettings
from embertray.common import logs
from embertray.common.net.clock import LoopClock
from embertray.common.net.tcp import TcpNet
from embertray.service.admin.server import serve_request, text
from embertray.service.daemon.control import ReplicaProcess, subscriber_client
from embertray.service.site import load

from .control_timing import scaled_timings


@click.command()
@click.argument("site")
@click.argument("role", type=click.Choice(["replica", "subscriber"]))
@click.argument("name")
@click.option("--scale", type=float, default=1.0, show_default=True)
def main(site, role, name, scale):
    """One process of a control plane, until SIGTERM."""
    logs.configure_logging("json", "debug")
    run = run_replica if role == "replica" else run_subscriber
    anyio.run(run, load(site), name, scale, backend_options={"use_uvloop": True})


async def run_replica(site, name, scale):
    """Runs a ReplicaProcess with times multiplied by `scale`."""
    replica_timing, feed_settings, _ = scaled_timings(
        scale, FeedSettings(bytes_per_second=site.control.bytes_per_second)
    )
    own_entry = site.control.replica(name)
    process = ReplicaProcess(
        site.control,
        own_entry,
        LoopClock(),
        TcpNet(),
        1,
        replica_timing=replica_timing,
        feed_settings=feed_settings,
    )
    async with anyio.create_task_group() as group:
        group.start_soon(until_signal, process.stop)
        await process.run()
        group.cancel_scope.cancel()


async def run_subscriber(site, name, scale):
    """Runs a SubscriberClient with times multiplied by `scale`; serves its status as /control."""
    log, net, own_entry = structlog.get_logger(), TcpNet(), site.controller(name)
    _, _, subscriber_timing = scaled_timings(scale, FeedSettings())
    client = subscriber_client(site, own_entry, LoopClock(), net, 1, log, subscriber_timing)
    log.info("started", subscriber=name)

    def answer(request, body):
        if request.target != b"/control":
            return text("there is /control\n", 404)
        return 200, "application/json", msgspec.json.encode(client.status()) + b"\n"

    listener = await net.listen(own_entry.admin)
    async with anyio.create_task_group() as group:
        group.start_soon(until_signal, group.cancel_scope.cancel)
        group.start_soon(listener.serve, lambda stream: serve_request(stream, answer), group)
        await client.run()


async def until_signal(stop):
    """Calls stop() on SIGTERM."""
    with anyio.open_signal_receiver(signal.SIGTERM) as signals:
        async for _ in signals:
            stop()


if __name__ == "__main__":
    main()
