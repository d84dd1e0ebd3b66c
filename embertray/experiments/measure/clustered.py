"""Compares controllers with and without their cluster on scripted days, run as real processes.

`python -m embertray.experiments.measure.clustered DAY...` plays each day through processes on loopback, once
with the cluster that the day asks for and once without (`--alone`), and prints a Markdown table: credit,
broken rules and claims, and the resources of a process. Each figure is taken over all seeds.
"""

import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from statistics import mean

import click


def played(day, seed, alone):
    """Runs `embertray play` for one day in a subprocess and returns its JSON result."""
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "embertray",
            "play",
            day,
            "--processes",
            "--json",
            "--seed",
            str(seed),
            *["--alone"] * alone,
        ],
        capture_output=True,
        text=True,
    )
    if done.returncode == 2 or not done.stdout:
        raise click.ClickException(f"{day}, seed {seed}: {done.stderr.strip()[-400:]}")
    return json.loads(done.stdout)


def row(day, alone, found):
    """Formats the results of one day, over all seeds, as a row of the table."""
    broken = sorted(
        {
            name
            for one in found
            for part in ("rules", "claims")
            for name, verdict in one.get(part, {}).items()
            if verdict == "broken"
        }
    )
    used = [use for one in found for use in one["used"].values()]
    return (
        f"| {day} | {'alone' if alone else 'cluster'} | {len(found)} | "
        f"{mean(one['credit'] for one in found):.3f} | "
        f"{min(one['credit'] for one in found):.3f} | {', '.join(broken) or 'none'} | "
        f"{max(one.get('age_of_bound', 0.0) for one in found):.2f} | "
        f"{mean(use['cpu'] for use in used) * 1000:.0f} | "
        f"{mean(use['rss'] for use in used) / 2**20:.1f} | {mean(use['sent'] for use in used):.0f} |"
    )


@click.command()
@click.argument("days", nargs=-1, required=True)
@click.option("--seeds", default=3, show_default=True)
@click.option(
    "--beside", default=2, show_default=True, help="Plays that run in parallel; each takes about a core."
)
def main(days, seeds, beside):
    """Plays each day with and without the cluster, and prints a Markdown table."""
    click.echo(
        "| day | way | plays | credit, mean | least | broken | greatest age of its bound | CPU, "
        "ms/s a process | MiB a process | cluster bytes/s a process |"
    )
    click.echo("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    with ThreadPoolExecutor(beside) as pool:
        plays = {
            (day, alone): [pool.submit(played, day, seed + 1, alone) for seed in range(seeds)]
            for day in days
            for alone in (True, False)
        }
        for (day, alone), found in plays.items():
            click.echo(row(day, alone, [one.result() for one in found]))


if __name__ == "__main__":
    main()
