"""`embertray emulate`: simulated churn that checks the daemon's memory, and faults on a simulated cluster."""

import sys

import click


@click.group()
def emulate():
    """Simulate whole fleets in virtual time."""


@emulate.command()
@click.option("--hours", default=0.5, show_default=True)
@click.option("--backends", default=92, show_default=True)
@click.option("--proxies", default=157, show_default=True)
@click.option("--reqs", default=920.0, show_default=True, help="Requests per second of all proxies together.")
@click.option(
    "--leaves", default=30.0, show_default=True, help="Proxies per minute that leave for good; new ones join."
)
@click.option("--replaced", default=4.0, show_default=True, help="Backends per minute that are replaced.")
@click.option(
    "--sockets/--virtual", default=False, help="Over loopback in real time, or in virtual time (default)."
)
@click.option("--leak", is_flag=True, help="Add a leak, with which the check must fail.")
@click.option("--seed", default=1, show_default=True)
@click.option("--save", type=click.Path(), help="File for the memory accounts of each minute, as JSON lines.")
def churn(hours, backends, proxies, reqs, leaves, replaced, sockets, leak, seed, save):
    """Run hours of churn through the real daemon and check that its memory does not grow.

    Exit code 0 when no purpose grew after warm-up, 1 when one did.
    """
    from embertray.simulation.emulator import churn as churn_simulation

    plan = churn_simulation.ChurnPlan(backends, proxies, reqs, hours, leaves, replaced)
    result = (
        churn_simulation.play_on_sockets(plan, seed)
        if sockets
        else churn_simulation.play_virtual(plan, seed, churn_simulation.LeakingCore if leak else None)
    )
    if save:
        churn_simulation.save_rows(result, save)
    sys.exit(0 if churn_simulation.print_report(result) else 1)


@emulate.command()
@click.argument("day")
@click.option("--members", type=int, help="Number of members; default: the number of the day's controllers.")
@click.option("--seed", default=1, show_default=True)
def cluster(day, members, seed):
    """Apply the faults of DAY on controllers and links to the members of a cluster.

    Exit code 0 when every claim is kept, 1 when one is broken, 2 on invalid input.
    """
    from embertray.simulation.emulator.cluster_simulation import ClusterSimulation
    from embertray.simulation.scenarios import notation

    from .standin import InputError

    try:
        simulation = ClusterSimulation(notation.load(day), seed, members)
    except notation.DayError as error:
        raise InputError(str(error)) from None
    claims = simulation.play().claims
    for name, verdict in claims.verdicts().items():
        click.echo(
            f"  {name:12} {verdict}, checked {claims.checks[name]} times"
            + "".join(f"\n    {text}" for text in claims.broken[name][:3])
        )
    probes, state = simulation.mean_traffic()
    click.echo(
        f"greatest age as a share of its bound {claims.max_age_ratio:.2f}; "
        f"bytes per second and member: probes "
        f"{probes:.0f}, state {state:.0f}"
    )
    sys.exit(1 if any(claims.broken.values()) else 0)
