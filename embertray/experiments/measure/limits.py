"""Measures the fleet-wide limits under virtual time.

`python -m embertray.experiments.measure.limits` prints Markdown tables: excess and utilization under random
faults; utilization by skew of the demand and number of members; utilization during and after a network
partition; recovery after members are killed.
"""

from concurrent.futures import ProcessPoolExecutor

import click

from embertray.simulation.emulator.engine import NS_PER_SECOND as S
from embertray.simulation.emulator.limits_simulation import LimitsSimulation


def wounded(seed):
    """Runs one simulation with ten random faults.

    Returns the greatest excess over the limits in units, and the share in use 60 s after the last fault.
    """
    simulation = LimitsSimulation(seed, 3 + seed % 5, 12 + seed % 9).run(15 * S)
    for _ in range(10):
        simulation.inject_fault(simulation.rng.randint(1, 20) * S)
        simulation.run(simulation.rng.randint(0, 9) * S)
    simulation.run(60 * S)
    return simulation.max_excess, simulation.utilization[-1]


def calm(case):
    """Runs one simulation without faults; `case` is (members, skew of the demand).

    Returns members, skew, the share in use, the greatest excess in units, and messages per second and
    member.
    """
    members, skew = case
    simulation = LimitsSimulation(1, members, 4 * members, skew=skew).run(60 * S)
    return (
        members,
        skew,
        simulation.utilization[-1],
        simulation.max_excess,
        simulation.messages_sent / 60 / members,
    )


def split(case):
    """Cuts some of five members off for a time; `case` is (members cut off, duration in s).

    Returns both, the share in use before and at the end of the partition, the greatest excess in units,
    and the seconds after its end until 98% of the former share is in use again.
    """
    cut, lasts = case
    simulation = LimitsSimulation(5, 5, 20).run(30 * S)
    before = simulation.utilization[-1]
    pairs = simulation.links.pairs_between([simulation.names[:cut], simulation.names[cut:]])
    simulation.links.set_conditions(simulation.engine.time, pairs, open=False)
    simulation.run(lasts * S)
    during = simulation.utilization[-1]
    simulation.links.restore_conditions(simulation.engine.time, pairs, ("open",))
    for second in range(120):  # noqa: B007 (used after the loop)
        if simulation.utilization[-1] >= 0.98 * before:
            break
        simulation.run(S)
    return cut, lasts, before, during, simulation.max_excess, second


def killed(case):
    """Kills `case` of five members at once, without a restart.

    Returns the count, the lowest share in use, the seconds until 93% is in use again (None if never), the
    share then, and the greatest excess in units.
    """
    simulation = LimitsSimulation(6, 5, 20).run(30 * S)
    for name in simulation.names[:case]:
        simulation.kill(name)
    least = 1.0
    for second in range(120):  # noqa: B007 (used after the loop)
        simulation.run(S)
        least = min(least, simulation.utilization[-1])
        if second > 2 and simulation.utilization[-1] >= 0.93:
            break
    return (
        case,
        least,
        second + 1 if simulation.utilization[-1] >= 0.93 else None,
        simulation.utilization[-1],
        simulation.max_excess,
    )


@click.command()
@click.option("--plays", default=1000, show_default=True)
@click.option("--workers", default=4, show_default=True)
def main(plays, workers):
    """Runs the simulations in parallel processes, and prints the tables."""
    with ProcessPoolExecutor(workers) as pool:
        found = list(pool.map(wounded, range(plays), chunksize=10))
        used = sorted(share for _, share in found)
        click.echo(
            f"{plays} simulations of 3 to 7 members with ten faults each: limit exceeded in "
            f"{sum(over > 0 for over, _ in found)}, at most "
            f"{max(0, *(over for over, _ in found))} of 10,000 units; in use a minute after the last "
            f"fault: least {used[0]:.3f}, p50 {used[len(used) // 2]:.3f}\n"
        )
        click.echo("| members | skew | used | over | messages/s a member |\n| --- | --- | --- | --- | --- |")
        for members, skew, share, over, sent in pool.map(
            calm, [(n, skew) for n in (2, 5, 12, 32) for skew in (1.0, 20.0)]
        ):
            click.echo(f"| {members} | {skew:.0f} | {share:.3f} | {over} | {sent:.1f} |")
        click.echo(
            "\n| cut off of 5 | for, s | used before | at its end | over | whole again, s |\n| --- "
            "| --- | --- | --- | --- | --- |"
        )
        for cut, lasts, before, during, over, second in pool.map(
            split, [(cut, lasts) for cut in (1, 2) for lasts in (2, 6, 20, 60)]
        ):
            click.echo(f"| {cut} | {lasts} | {before:.3f} | {during:.3f} | {over} | {second} |")
        click.echo(
            "\n| killed of 5 | least used | used 0.93 again after, s | used then | over |\n| --- | "
            "--- | --- | --- | --- |"
        )
        for count, least, second, share, over in pool.map(killed, (1, 2, 3)):
            click.echo(
                f"| {count} | {least:.3f} | {'-' if second is None else second} | {share:.3f} | {over} |"
            )


if __name__ == "__main__":
    main()
