"""Measures cluster and control plane at several sizes with hollow members.

`python -m embertray.experiments.measure.scale cluster|control|virtual` writes slopes to
docs/measured/capacity/.
"""

import shlex
import sys

import click

from embertray.experiments.measure.capacity.record import FOLDER, Recording

from . import fleet, slopes, virtual
from .merging import MergingRecording

S = 10**9  # ns


def sizes(text):
    """Parses a comma-separated list of sizes."""
    return [int(part) for part in text.split(",")]


def recording(folder, keep=False):
    """Returns a recording that names this command and the commit that is measured.

    It is made before the measurement, while the commit is the one that runs. With `keep`, recorded points
    of other sizes are kept.
    """
    kind = MergingRecording if keep else Recording
    return kind("python -m embertray.experiments.measure.scale " + shlex.join(sys.argv[1:]), folder)


def out_options(command):
    """Adds the options for where slopes are written and whether recorded points are kept."""
    command = click.option("--keep", is_flag=True, help="Keep recorded points of other sizes.")(command)
    return click.option("--out", default=str(FOLDER), show_default=True, help="Folder for the slopes.")(
        command
    )


def spans_options(spread, settle, window):
    """Returns a decorator that adds the options for when members start and how long they are measured."""

    def decorated(command):
        for name, value, text in (
            ("--window", window, "Seconds of the measured window."),
            ("--settle", settle, "Seconds from the last start to the window."),
            ("--spread", spread, "Seconds between the starts of two members."),
        ):
            command = click.option(name, default=value, show_default=True, help=text)(command)
        return command

    return decorated


@click.group()
def main():
    """Run from the root of the repository."""


@main.command()
@click.option("--sizes", "wanted", default="8,32,64,128,256,470", show_default=True)
@click.option("--processes", default=8, show_default=True)
@click.option("--period", default=1.0, show_default=True, help="Protocol period in seconds.")
@click.option("--facts", default=60, show_default=True, help="Bytes of facts of each member.")
@spans_options(0.1, 20.0, 30.0)
@out_options
def cluster(wanted, processes, period, facts, spread, settle, window, out, keep):
    """Measures members of a cluster on loopback."""
    recorder, spans, summaries = recording(out, keep), fleet.Spans(spread, settle, window), []
    for size in sizes(wanted):
        reports = fleet.run(fleet.cluster_plans(size, processes, spans, int(period * S), facts))
        summaries.append(fleet.summary(size, "member", reports, window))
        slopes.print_summary(summaries[-1])
    note = f"period {period:g} s, {facts} bytes of facts, at most {processes} processes, {window:g} s a size"
    slopes.save_cluster(recorder, summaries, note)


@main.command()
@click.option("--sizes", "wanted", default="60,120,240,470", show_default=True)
@click.option("--processes", default=8, show_default=True, help="Processes of subscribers.")
@click.option("--replicas", default=8, show_default=True, help="Replicas, each a process.")
@click.option("--keys", default=60, show_default=True)
@click.option("--value", default=200, show_default=True, help="Bytes of a value.")
@spans_options(0.02, 30.0, 60.0)
@out_options
def control(wanted, processes, replicas, keys, value, spread, settle, window, out, keep):
    """Measures replicas and subscribers of the control plane on loopback."""
    recorder, spans = recording(out, keep), fleet.Spans(spread, settle, window)
    summaries = {"subscriber": [], "replica": []}
    for size in sizes(wanted):
        reports = fleet.run(fleet.control_plans(size, processes, spans, replicas, keys, value))
        for role, rows in summaries.items():
            rows.append(fleet.summary(size, role, reports, window))
            slopes.print_summary(rows[-1])
    note = (
        f"{replicas} replicas, {keys} keys and 3 writes of {value} bytes, {window:g} s a size, loopback: "
        "no delay between machines, nothing kept on disk"
    )
    slopes.save_control(recorder, summaries, note)


@main.command(name="virtual")
@click.option("--sizes", "wanted", default="8,32,64,128,256,470", show_default=True)
@click.option("--period", default=1.0, show_default=True, help="Protocol period in seconds.")
@click.option("--facts", default=60, show_default=True, help="Bytes of facts of each member.")
@spans_options(0.1, 20.0, 30.0)
@out_options
def virtual_command(wanted, period, facts, spread, settle, window, out, keep):
    """Measures members of a cluster under virtual time: the same cores, addresses and facts, no sockets."""
    recorder, spans, summaries = recording(out, keep), fleet.Spans(spread, settle, window), []
    for size in sizes(wanted):
        summaries.append(virtual.measure(size, spans, int(period * S), facts))
        slopes.print_summary(summaries[-1])
    note = f"virtual time, period {period:g} s, {facts} bytes of facts, {window:g} s a size"
    slopes.save_virtual(recorder, summaries, note)


@main.command()
@click.option("--size", default=128, show_default=True)
@spans_options(0.1, 20.0, 30.0)
def parts(size, spread, settle, window):
    """Shows what facts, addresses and names add to the bytes of a member, under virtual time."""
    spans = fleet.Spans(spread, settle, window)
    for text, facts, naming in (
        ("names of 2 to 4 bytes for addresses, 15 bytes of facts", 15, virtual.Naming("c", False)),
        ("and 60 bytes of facts", 60, virtual.Naming("c", False)),
        ("and addresses of 15 bytes", 60, virtual.Naming("c", True)),
        ("and names of 12 to 14 bytes", 60, virtual.Naming()),
    ):
        click.echo(f"{text}:")
        slopes.print_summary(virtual.measure(size, spans, S, facts, naming))


if __name__ == "__main__":
    main()
