"""Injects faults into a control plane of real processes while writes go on.

`python -m embertray.experiments.measure.control --faults 20` injects as many kills, stops and splits each.
Prints the claims, how often each was checked and broken, and the time until writes were in force. Exit code 1
if a claim is broken.
"""

import json
import sys

import click

from embertray.simulation.claims.control import CLAIMS
from embertray.simulation.processes.control_fault_run import run_with_faults

S = 10**9  # ns
QUANTILES = (0.5, 0.99, 1.0)  # quantiles of the times that are shown


@click.command()
@click.option("--faults", default=20, show_default=True, help="Number of faults of each kind.")
@click.option("--replicas", default=3, show_default=True)
@click.option("--subscribers", default=6, show_default=True)
@click.option(
    "--scale",
    default=1.0,
    show_default=True,
    help="Factor for all times of the control plane and the faults.",
)
@click.option("--seed", default=1, show_default=True)
@click.option("--folder", type=click.Path(file_okay=False), help="Folder that keeps logs and states.")
@click.option("--json", "as_json", is_flag=True)
def main(faults, replicas, subscribers, scale, seed, folder, as_json):
    """Runs the faults, and prints what was found."""
    show = (lambda text: None) if as_json else click.echo
    result = run_with_faults(faults, seed, scale, replicas, subscribers, folder, show)
    figures = summary(result)
    click.echo(json.dumps(figures) if as_json else "\n".join(lines(figures)))
    sys.exit(0 if result.claims.kept else 1)


def summary(result):
    """Returns the figures of a FaultRunResult, ready for JSON."""
    claims = result.claims
    kinds = sorted({fault.kind for fault in result.faults})
    return {
        "seconds": round(result.seconds, 1),
        "faults": {kind: sum(fault.kind == kind for fault in result.faults) for kind in kinds},
        "outcomes": result.outcomes,
        "held": {claim: claims.checks[claim] for claim in CLAIMS},
        "broken": {claim: claims.counts[claim] for claim in CLAIMS},
        "examples": [f"{violation.claim}: {violation.text}" for violation in claims.broken],
        "took_s": {claim: quantiles(took) for claim, took in claims.propagation_times.items()},
        "settled_s": max((round(fault.settled_s, 2) for fault in result.faults), default=0.0),
    }


def quantiles(took):
    """Returns the quantiles of times (ns) in s, for each of QUANTILES; {} if there are none."""
    ordered = sorted(took)
    last = len(ordered) - 1
    return (
        {str(quantile): round(ordered[round(quantile * last)] / S, 3) for quantile in QUANTILES}
        if ordered
        else {}
    )


def lines(figures):
    """Yields a Markdown table of the claims and the lines around it."""
    faults = ", ".join(f"{count} {kind}" for kind, count in figures["faults"].items())
    yield f"{faults} in {figures['seconds']} s; writes: {figures['outcomes']}"
    yield "| claim | held against | broken |"
    yield "| --- | --- | --- |"
    for claim, count in figures["held"].items():
        yield f"| {claim} | {count} | {figures['broken'][claim]} |"
    for claim, took in figures["took_s"].items():
        yield f"{claim}, s until in force at a subscriber by share of writes: {took or 'none'}"
    yield f"recovered at most {figures['settled_s']} s after the end of a fault"
    yield from figures["examples"]


if __name__ == "__main__":
    main()
