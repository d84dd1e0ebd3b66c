"""Measures the fleet-wide limits under virtual time.

`python -m embertray.experiments.measure.limits` prints Markdown tables: excess and utilization under random
faults; utilization by skew of the demand and number of members; utilization during and after a network
partition; recovery after members are killed.
"""

from concurrent.futures import ProcessPoolExecutor

import click

from embertray.simulation.emulator.engine import NS_PER_SECOND as S
from embertray.simulation.emulator.limits_simulation import LimitsSimulation


def run_with_faults(seed):
    """Runs one simulation with ten random faults.

    Returns the greatest excess over the limits in units, and the share in use 60 s after the last fault.
    """
    simulation = LimitsSimulation(seed, 3 + seed % 5, 12 + seed % 9).run(15 * S)
    for _ in range(10):
        simulation.inject_fault(simulation.rng.randint(1, 20) * S)
        simulation.run(simulation.rng.randint(0, 9) * S)
    simulation.run(60 * S)
    return simulation.max_excess, simulation.utilization[-1]


def run_without_faults(case):
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


def run_with_partition(case):
    """Cuts some of five members off for a time; `case` is (members cut off, duration in s).

    Returns both, the share in use before and at the end of the partition, the greatest excess in units,
    and the seconds after its end until 98% of the former share is in use again.
    """
    isolated, duration_s = case
    simulation = LimitsSimulation(5, 5, 20).run(30 * S)
    before = simulation.utilization[-1]
    pairs = simulation.links.pairs_between([simulation.names[:isolated], simulation.names[isolated:]])
    simulation.links.set_conditions(simulation.engine.time, pairs, open=False)
    simulation.run(duration_s * S)
    during = simulation.utilization[-1]
    simulation.links.restore_conditions(simulation.engine.time, pairs, ("open",))
    for second in range(120):  # noqa: B007 (used after the loop)
        if simulation.utilization[-1] >= 0.98 * before:
            break
        simulation.run(S)
    return isolated, duration_s, before, during, simulation.max_excess, second


def run_with_kills(case):
    """Kills `case` of five members at once, without a restart.

    Returns the count, the lowest share in use, the seconds until 93% is in use again (None if never), the
    share then, and the greatest excess in units.
    """
    simulation = LimitsSimulation(6, 5, 20).run(30 * S)
    for name in simulation.names[:case]:
        simulation.kill(name)
    lowest = 1.0
    for second in range(120):  # noqa: B007 (used after the loop)
        simulation.run(S)
        lowest = min(lowest, simulation.utilization[-1])
        if second > 2 and simulation.utilization[-1] >= 0.93:
            break
    return (
        case,
        lowest,
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
        results = list(pool.map(run_with_faults, range(plays), chunksize=10))
        used = sorted(share for _, share in results)
        click.echo(
            f"{plays} simulations of 3 to 7 members with ten faults each: limit exceeded in "
            f"{sum(excess > 0 for excess, _ in results)}, at most "
            f"{max(0, *(excess for excess, _ in results))} of 10,000 units; in use a minute after the last "
            f"fault: least {used[0]:.3f}, p50 {used[len(used) // 2]:.3f}\n"
        )
        click.echo("| members | skew | used | over | messages/s a member |\n| --- | --- | --- | --- | --- |")
        for members, skew, share, excess, sent in pool.map(
            run_without_faults, [(n, skew) for n in (2, 5, 12, 32) for skew in (1.0, 20.0)]
        ):
            click.echo(f"| {members} | {skew:.0f} | {share:.3f} | {excess} | {sent:.1f} |")
        click.echo(
            "\n| cut off of 5 | for, s | used before | at its end | over | whole again, s |\n| --- "
            "| --- | --- | --- | --- | --- |"
        )
        for isolated, duration_s, before, during, excess, second in pool.map(
            run_with_partition,
            [(isolated, duration_s) for isolated in (1, 2) for duration_s in (2, 6, 20, 60)],
        ):
            click.echo(f"| {isolated} | {duration_s} | {before:.3f} | {during:.3f} | {excess} | {second} |")
        click.echo(
            "\n| killed of 5 | least used | used 0.93 again after, s | used then | over |\n| --- | "
            "--- | --- | --- | --- |"
        )
        for count, lowest, second, share, excess in pool.map(run_with_kills, (1, 2, 3)):
            click.echo(
                f"| {count} | {lowest:.3f} | {'-' if second is None else second} | {share:.3f} | {excess} |"
            )


if __name__ == "__main__":
    main()
