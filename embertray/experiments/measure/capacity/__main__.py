"""`python -m embertray.experiments.measure.capacity NAME`: measures slopes, writes them to
docs/measured/capacity/."""

import cProfile
import pstats
import shlex
import sys

import click

from embertray.experiments.capacity.slope import load_all
from embertray.experiments.capacity.table import compute
from embertray.experiments.capacity.target import load

from . import (
    charts as charts_part,
    decisions as decisions_part,
    entries as entries_part,
    picks as picks_part,
    streams as streams_part,
)
from .record import FOLDER, Recording


def sizes(text):
    return [int(part) for part in text.split(",")]


def recording():
    return Recording("python -m embertray.experiments.measure.capacity " + shlex.join(sys.argv[1:]))


@click.group()
def main():
    """Slopes behind docs/CAPACITY.md. Run from the root of the repository."""


@main.command()
@click.option("--proxies", default=68, show_default=True)
@click.option("--backends", default="17,250,1000,2000,4000", show_default=True)
@click.option("--seconds", default=20, show_default=True, help="Simulated.")
@click.option("--runs", default=3, show_default=True, help="Of each size; the median counts.")
def decisions(proxies, backends, seconds, runs):
    """The decision module: processor time, worst step, memory, against backends."""
    decisions_part.run(recording(), proxies, sizes(backends), seconds, runs)


@main.command(name="by-proxies")
@click.option("--proxies", default="17,34,68,136,272", show_default=True)
@click.option("--backends", default=4000, show_default=True)
@click.option("--seconds", default=20, show_default=True, help="Simulated.")
@click.option("--runs", default=3, show_default=True, help="Of each size; the median counts.")
def by_proxies(proxies, backends, seconds, runs):
    """The decision module against proxies."""
    decisions_part.run_by_proxies(recording(), sizes(proxies), backends, seconds, runs)


@main.command(name="by-steps")
@click.option("--steps", default="1,2,4,10,50", show_default=True, help="Steps a simulated second.")
@click.option("--proxies", default=68, show_default=True)
@click.option("--backends", default=4000, show_default=True)
@click.option("--seconds", default=20, show_default=True, help="Simulated.")
def by_steps(steps, proxies, backends, seconds):
    """The decision module against steps a second, nothing heard."""
    decisions_part.run_by_steps(recording(), sizes(steps), proxies, backends, seconds)


@main.command()
@click.option("--proxies", default=68, show_default=True)
@click.option("--backends", default=4000, show_default=True)
@click.option("--seconds", default=10, show_default=True, help="Simulated.")
def profile(proxies, backends, seconds):
    """Prints where the module's time goes while nothing is heard, the profiler's own cost included."""
    profiler = cProfile.Profile()
    profiler.runcall(decisions_part.measure, proxies, backends, decisions_part.SILENT, seconds)
    pstats.Stats(profiler).strip_dirs().sort_stats("cumulative").print_stats(20)


@main.command()
@click.option("--proxies", default="17,34,68,136,320", show_default=True)
@click.option("--backends", default=250, show_default=True)
def streams(proxies, backends):
    """A true controller: processor time, bytes and memory, against proxies."""
    streams_part.run_load(recording(), sizes(proxies), backends)


@main.command(name="streams-by-backends")
@click.option("--backends", default="17,250,1000,2000,4000", show_default=True)
@click.option("--proxies", default=68, show_default=True)
def streams_by_backends(backends, proxies):
    """The same against backends."""
    streams_part.run_load_by_backends(recording(), sizes(backends), proxies)


@main.command()
@click.option("--backends", default="17,250,1000,2000,4000", show_default=True)
def joins(backends):
    """How long a joining proxy waits for its first table, and what it costs, against entries of the list."""
    streams_part.run_joins(recording(), sizes(backends))


@main.command()
@click.option("--entries", default="250,500,1000,2000,4000", show_default=True)
def entries(entries):
    """The list: bytes, processor time to read it, memory, against its entries."""
    entries_part.run(recording(), sizes(entries))


@main.command()
@click.option("--lines", default="17,200,1000,2000,4000", show_default=True)
def picks(lines):
    """A stand-in proxy's pick, against lines of its table."""
    picks_part.run(recording(), sizes(lines))


@main.command()
def charts():
    """The charts of docs/CAPACITY.md, from the slopes that are there."""
    found = compute(load(), load_all(FOLDER))
    charts_part.draw(found, FOLDER)


if __name__ == "__main__":
    main()
