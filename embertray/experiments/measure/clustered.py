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


def run_play(day, seed, alone):
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


def table_row(day, alone, results):
    """Formats the results of one day, over all seeds, as a row of the table."""
    broken = sorted(
        {
            name
            for result in results
            for part in ("rules", "claims")
            for name, verdict in result.get(part, {}).items()
            if verdict == "broken"
        }
    )
    usages = [usage for result in results for usage in result["used"].values()]
    return (
        f"| {day} | {'alone' if alone else 'cluster'} | {len(results)} | "
        f"{mean(result['credit'] for result in results):.3f} | "
        f"{min(result['credit'] for result in results):.3f} | {', '.join(broken) or 'none'} | "
        f"{max(result.get('age_of_bound', 0.0) for result in results):.2f} | "
        f"{mean(usage['cpu'] for usage in usages) * 1000:.0f} | "
        f"{mean(usage['rss'] for usage in usages) / 2**20:.1f} | "
        f"{mean(usage['sent'] for usage in usages):.0f} |"
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
            (day, alone): [pool.submit(run_play, day, seed + 1, alone) for seed in range(seeds)]
            for day in days
            for alone in (True, False)
        }
        for (day, alone), results in plays.items():
            click.echo(table_row(day, alone, [future.result() for future in results]))


if __name__ == "__main__":
    main()
