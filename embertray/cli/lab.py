"""`embertray lab`: runs experiments on simulated fleets and reports their results."""

import datetime
import os
import sys
from pathlib import Path

import click

from embertray.experiments.lab import (
    experiment as experiments,
    hunt as hunting,
    report as reports,
    run as runner,
)
from embertray.experiments.lab.results import Results
from embertray.experiments.lab.single_run import play

from .standin import InputError


def read_experiment(path):
    """Returns the experiment that a file or a name stands for. Raises InputError."""
    try:
        return experiments.load(path)
    except experiments.ExperimentError as error:
        raise InputError(str(error)) from None


def open_results(path):
    """Returns (Results, experiment) of a results file. Raises InputError."""
    if not Path(path).is_file():
        raise InputError(f"{path}: no such results file")
    results = Results(path)
    row = results.experiment_header()
    if not row:
        raise InputError(f"{path}: it contains no experiment")
    return results, experiments.read(row[0], path)


@click.group()
def lab():
    """Run experiments on whole fleets in virtual time."""


@lab.command("run")
@click.argument("experiment")
@click.option("--out", help="The results file; default: the experiment's name with .sqlite.")
@click.option("--jobs", default=os.cpu_count(), show_default=True)
@click.option("--retry", is_flag=True, help="Repeat the runs that died or hung.")
def run(experiment, out, jobs, retry):
    """Run EXPERIMENT.xml (or a built-in experiment); resume it if it was stopped."""
    definition = read_experiment(experiment)
    results = Results(out or f"{definition.name}.sqlite")
    try:
        results.begin(
            definition,
            runner.source_commit(),
            datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds"),
        )
    except ValueError as error:
        raise InputError(str(error)) from None
    if retry:
        results.delete_failed_runs()

    def on_progress(done, total):
        if sys.stderr.isatty():
            click.echo(f"\r{done} of {total} runs", nl=done == total, err=True)

    runner.run(definition, results, jobs, on_progress)
    rows = list(results.rows())
    click.echo(
        f"{len(rows)} runs, {sum(1 for r in rows if r['error'])} died, "
        f"{sum(1 for r in rows if r['kept'] == 0)} with a broken rule"
    )


@lab.command()
@click.argument("results")
@click.option("--out", help="A Markdown file, with charts beside it; default: standard output, no charts.")
def report(results, out):
    """Report tables with intervals and the worst seeds; with --out also charts."""
    results_file, experiment = open_results(results)
    charts = []
    if out:
        for end, draw in (
            (".png", reports.factor_chart),
            ("-by-second.png", reports.credit_timeline_chart),
            ("-took.png", reports.latency_chart),
        ):
            name = Path(out).with_name(Path(out).stem + end)
            if draw(experiment, results_file, name):
                charts.append(name.name)
    page = reports.page(experiment, results_file, charts)
    if out:
        Path(out).write_text(page)
    else:
        click.echo(page)


@lab.command()
@click.argument("one")
@click.argument("two")
def compare(one, two):
    """Compare two results files run by run."""
    click.echo(reports.compare(open_results(one)[0], open_results(two)[0]))


@lab.command()
@click.argument("results")
@click.argument("key")
@click.option("--events/--no-events", default=False, help="Print its whole event log.")
def show(results, key, events):
    """Repeat one run of RESULTS by its KEY."""
    _, experiment = open_results(results)
    selected = next((r for r in experiment.runs() if r.key == key), None)
    if selected is None:
        raise InputError(f"{key}: no such run; a valid key is {next(iter(experiment.runs())).key}")
    result = play(experiment, selected)
    if events:
        for event in result.events:
            click.echo(f"{event.at / 1e9:.6f} {event.what} {event.who} {' '.join(map(str, event.rest))}")
    click.echo(result.as_json())


@lab.command()
@click.option("--site", "sites", multiple=True, default=("pushed", "asked", "sealed"), show_default=True)
@click.option("--tries", default=30, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--credit", is_flag=True, help="Find the day of the least credit instead of days that break a rule."
)
@click.option(
    "--way",
    type=click.Choice(["emulated", "virtual"]),
    default="emulated",
    show_default=True,
    help="emulated: without streams; virtual: through the daemon's streams, in memory (three times slower).",
)
@click.option("--jobs", default=os.cpu_count(), show_default=True)
@click.option("--out", default="found", show_default=True, help="Folder for the day files.")
def hunt(sites, tries, seed, credit, way, jobs, out):
    """Search for days on which a rule breaks; exit code 1 if one is found."""

    def on_progress(n, total):
        if sys.stderr.isatty():
            click.echo(f"\r{n} of {total}", nl=n == total, err=True)

    findings = hunting.hunt(sites, tries, seed, not credit, on_progress=on_progress, simulator=way, jobs=jobs)
    Path(out).mkdir(exist_ok=True)
    for n, (text, result) in enumerate(findings):
        path = Path(out) / f"hunt-{seed}-{n + 1}.day"
        path.write_text(text)
        click.echo(f"{path}: {text.splitlines()[0][7:-1]}")
        for rule, why in result.violations.items():
            if why:
                click.echo(f"  {rule}: {why[0]}")
    click.echo(f"{tries} days, {0 if credit else len(findings)} with a broken rule")
    sys.exit(1 if findings and not credit else 0)
