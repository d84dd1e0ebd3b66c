"""A control plane of true processes that faults strike while writes go on.

`python -m embertray.experiments.measure.control --faults 20`: so many of kill, stop and split each. Prints
what was
claimed, how often that was held against what happened, and the time until writes were in force. Exit code 1
if a claim is broken.
"""

import json
import sys

import click

from embertray.simulation.claims.control import CLAIMS
from embertray.simulation.processes.control_fault_run import play

S = 10**9
SHARES = (0.5, 0.99, 1.0)  # of the writes at each subscriber, whose times are shown


@click.command()
@click.option("--faults", default=20, show_default=True, help="Of each kind.")
@click.option("--replicas", default=3, show_default=True)
@click.option("--subscribers", default=6, show_default=True)
@click.option(
    "--scale", default=1.0, show_default=True, help="Of all times of the control plane and the faults."
)
@click.option("--seed", default=1, show_default=True)
@click.option("--folder", type=click.Path(file_okay=False), help="Where logs and states stay.")
@click.option("--json", "as_json", is_flag=True)
def main(faults, replicas, subscribers, scale, seed, folder, as_json):
    """Plays it, and shows what was found."""
    show = (lambda text: None) if as_json else click.echo
    found = play(faults, seed, scale, replicas, subscribers, folder, show)
    told = summary(found)
    click.echo(json.dumps(told) if as_json else "\n".join(lines(told)))
    sys.exit(0 if found.claims.kept else 1)


def summary(found):
    """A PlayResult as figures."""
    claims = found.claims
    kinds = sorted({one.kind for one in found.faults})
    return {
        "seconds": round(found.seconds, 1),
        "faults": {kind: sum(one.kind == kind for one in found.faults) for kind in kinds},
        "outcomes": found.outcomes,
        "held": {claim: claims.checks[claim] for claim in CLAIMS},
        "broken": {claim: claims.counts[claim] for claim in CLAIMS},
        "examples": [f"{one.claim}: {one.text}" for one in claims.broken],
        "took_s": {claim: shares_of(took) for claim, took in claims.took.items()},
        "settled_s": max((round(one.settled_s, 2) for one in found.faults), default=0.0),
    }


def shares_of(took):
    """Times in s under which these SHARES of all lie; {} if there are none."""
    ordered = sorted(took)
    last = len(ordered) - 1
    return {str(share): round(ordered[round(share * last)] / S, 3) for share in SHARES} if ordered else {}


def lines(told):
    """A Markdown table and what is beside it."""
    faults = ", ".join(f"{count} {kind}" for kind, count in told["faults"].items())
    yield f"{faults} in {told['seconds']} s; writes: {told['outcomes']}"
    yield "| claim | held against | broken |"
    yield "| --- | --- | --- |"
    for claim, count in told["held"].items():
        yield f"| {claim} | {count} | {told['broken'][claim]} |"
    for claim, took in told["took_s"].items():
        yield f"{claim}, s until in force at a subscriber by share of writes: {took or 'none'}"
    yield f"caught up {told['settled_s']} s after a fault's end at the latest"
    yield from told["examples"]


if __name__ == "__main__":
    main()
