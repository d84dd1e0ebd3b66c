"""Measures the slopes that docs/CAPACITY.md is computed from.

`python -m embertray.experiments.measure.capacity NAME` writes them to docs/measured/capacity/.
"""

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
    """Parses a comma-separated list of sizes."""
    return [int(part) for part in text.split(",")]


def recording():
    """Returns a recording that names this command and the commit that is measured."""
    return Recording("python -m embertray.experiments.measure.capacity " + shlex.join(sys.argv[1:]))


@click.group()
def main():
    """Measures the slopes behind docs/CAPACITY.md. Run from the root of the repository."""


@main.command()
@click.option("--proxies", default=68, show_default=True)
@click.option("--backends", default="17,250,1000,2000,4000", show_default=True)
@click.option("--seconds", default=20, show_default=True, help="Simulated seconds.")
@click.option("--runs", default=3, show_default=True, help="Runs of each size, of which the median is taken.")
def decisions(proxies, backends, seconds, runs):
    """Measures the decision module against backends: processor time, worst step, memory."""
    decisions_part.run(recording(), proxies, sizes(backends), seconds, runs)


@main.command(name="by-proxies")
@click.option("--proxies", default="17,34,68,136,272", show_default=True)
@click.option("--backends", default=4000, show_default=True)
@click.option("--seconds", default=20, show_default=True, help="Simulated seconds.")
@click.option("--runs", default=3, show_default=True, help="Runs of each size, of which the median is taken.")
def by_proxies(proxies, backends, seconds, runs):
    """Measures the decision module against proxies."""
    decisions_part.run_by_proxies(recording(), sizes(proxies), backends, seconds, runs)


@main.command(name="by-steps")
@click.option("--steps", default="1,2,4,10,50", show_default=True, help="Steps per simulated second.")
@click.option("--proxies", default=68, show_default=True)
@click.option("--backends", default=4000, show_default=True)
@click.option("--seconds", default=20, show_default=True, help="Simulated seconds.")
def by_steps(steps, proxies, backends, seconds):
    """Measures the decision module without reports against steps per second."""
    decisions_part.run_by_steps(recording(), sizes(steps), proxies, backends, seconds)


@main.command()
@click.option("--proxies", default=68, show_default=True)
@click.option("--backends", default=4000, show_default=True)
@click.option("--seconds", default=10, show_default=True, help="Simulated seconds.")
def profile(proxies, backends, seconds):
    """Prints where the module's time goes without reports; the profiler's own cost is included."""
    profiler = cProfile.Profile()
    profiler.runcall(decisions_part.measure, proxies, backends, decisions_part.SILENT, seconds)
    pstats.Stats(profiler).strip_dirs().sort_stats("cumulative").print_stats(20)


@main.command()
@click.option("--proxies", default="17,34,68,136,320", show_default=True)
@click.option("--backends", default=250, show_default=True)
def streams(proxies, backends):
    """Measures a real controller against proxies: processor time, bytes and memory."""
    streams_part.run_load(recording(), sizes(proxies), backends)


@main.command(name="streams-by-backends")
@click.option("--backends", default="17,250,1000,2000,4000", show_default=True)
@click.option("--proxies", default=68, show_default=True)
def streams_by_backends(backends, proxies):
    """Measures a real controller against backends: processor time, bytes and memory."""
    streams_part.run_load_by_backends(recording(), sizes(backends), proxies)


@main.command()
@click.option("--backends", default="17,250,1000,2000,4000", show_default=True)
def joins(backends):
    """Measures how long a joining proxy waits for its first table, and its cost, against list entries."""
    streams_part.run_joins(recording(), sizes(backends))


@main.command()
@click.option("--entries", default="250,500,1000,2000,4000", show_default=True)
def entries(entries):
    """Measures the endpoint list against its entries: bytes, processor time to read it, memory."""
    entries_part.run(recording(), sizes(entries))


@main.command()
@click.option("--lines", default="17,200,1000,2000,4000", show_default=True)
def picks(lines):
    """Measures a stand-in proxy's pick against the lines of its table."""
    picks_part.run(recording(), sizes(lines))


@main.command()
def charts():
    """Draws the charts of docs/CAPACITY.md from the recorded slopes."""
    found = compute(load(), load_all(FOLDER))
    charts_part.draw(found, FOLDER)


if __name__ == "__main__":
    main()
