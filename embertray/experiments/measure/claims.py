"""Checks the cluster's claims on random fault days, and measures convergence, under virtual time.

`python -m embertray.experiments.measure.claims` plays days with random faults and checks every observation
against the claims; then it measures a partition into halves, its healing, and a death, at several sizes.
Prints Markdown tables; `--chart` writes a PNG of the second.
"""

import sys
from concurrent.futures import ProcessPoolExecutor

import click

from embertray.simulation.emulator.cluster_simulation import ClusterSimulation
from embertray.simulation.emulator.random_faults import random_faults
from embertray.simulation.scenarios import notation

S = 10**9  # ns
CALM_S, PARTITION_S = 20, 40  # s before the partition, and its minimal duration


def check_random_day(seed, members):
    """Plays one day with random faults.

    Returns checks by claim, violations by claim, and the greatest age of shared state as a fraction of
    its bound.
    """
    claims = ClusterSimulation(notation.read(random_faults(seed, members)), seed).play().claims
    return dict(claims.checks), {name: len(why) for name, why in claims.broken.items()}, claims.max_age_ratio


class ConvergenceSimulation(ClusterSimulation):
    """A cluster simulation that measures how long all members take to agree after a fault."""

    def split(self, names):
        """Partitions the members into halves; returns name -> the members of its half."""
        half = len(names) // 2
        self.links.split(names[:half], names[half:], now=self.engine.time)
        return {name: set(names[:half] if name in names[:half] else names[half:]) for name in names}

    def time_until(self, condition, timeout_s):
        """Runs until `condition(name, active members as seen by name)` holds at every member.

        Returns the seconds that passed; None if it does not hold within `timeout_s`.
        """
        began = self.engine.time
        while self.engine.time < began + timeout_s * S:
            if all(
                condition(name, {name} | {m.name for m in exchanger.process.core.active_members})
                for name, exchanger in self.exchangers.items()
            ):
                return (self.engine.time - began) / S
            self.engine.run(self.engine.time + S // 10)
        return None

    def greatest_age(self):
        """Returns the greatest age of any member's facts at any member, in s; None while one lacks some."""
        now, count = self.engine.time, len(self.exchangers)
        rows = [
            [known.age_ns for known in exchanger.store.latest_values(now, "facts")]
            for exchanger in self.exchangers.values()
        ]
        return max(map(max, rows)) / S if all(len(ages) == count for ages in rows) else None


def measure_convergence(members, loss, seed):
    """Measures a partition, its healing and a death in one cluster.

    Returns (members, loss, seconds until all members see the partition, until all see each other again,
    until all see the death; the greatest age of facts in s before any fault and its bound; bytes per
    second and member of probes and of state, before any fault).
    """
    simulation = ConvergenceSimulation(
        notation.read(f"fleet controllers={members} cluster=yes period=1s\nload 1/s for 1s"),
        seed,
        observation_period=10_000 * S,
    )
    names = list(simulation.links.members)
    simulation.engine.start(simulation.start_all(names))
    simulation.engine.run(simulation.load_start)
    simulation.time_until(lambda name, active: active == set(names), 200)
    simulation.links.set_all_conditions(now=simulation.engine.time, drop=loss)
    simulation.engine.run(simulation.engine.time + max(CALM_S, 2 * members + 5) * S)
    bound, age = (2 * (members - 1) + 2 + 1), simulation.greatest_age()
    began, before = (
        simulation.engine.time,
        (
            sum(simulation.membership.bytes_sent.values()),
            sum(s.bytes_sent for s in simulation.exchangers.values()),
        ),
    )
    simulation.engine.run(began + CALM_S * S)
    rates = [
        (now - was) / CALM_S / members
        for now, was in zip(
            (
                sum(simulation.membership.bytes_sent.values()),
                sum(s.bytes_sent for s in simulation.exchangers.values()),
            ),
            before,
            strict=False,
        )
    ]
    half_of = simulation.split(names)
    split_seen = simulation.time_until(lambda name, active: active == half_of[name], 400)
    simulation.links.restore_conditions(simulation.engine.time, simulation.links.pairs(), ("open",))
    healed = simulation.time_until(lambda name, active: active == set(names), 400)
    simulation.kill(names[-1])
    death_seen = simulation.time_until(lambda name, active: active == set(names[:-1]), 400)
    return members, loss, split_seen, healed, death_seen, age, bound, *rates


def format_seconds(value):
    """Formats seconds for the table, with a dash for None."""
    return "-" if value is None else f"{value:.1f}"


@click.command()
@click.option("--days", "count", default=100, show_default=True)
@click.option("--members", default="3,8,32,128", show_default=True)
@click.option("--loss", default="0,0.3", show_default=True)
@click.option("--workers", default=4, show_default=True)
@click.option("--chart", type=click.Path(), help="Write a PNG of the second table.")
def main(count, members, loss, workers, chart):
    """Runs the days and the measurements in parallel processes, and prints the tables."""
    sizes, shares = [int(n) for n in members.split(",")], [float(p) for p in loss.split(",")]
    with ProcessPoolExecutor(workers) as pool:
        cases = sorted(((n, p) for n in sizes for p in shares), reverse=True)  # the slowest first
        measurements = {case: pool.submit(measure_convergence, *case, 1) for case in cases}
        found = list(pool.map(check_random_day, range(count), [3 + seed % 6 for seed in range(count)]))
        click.echo("| claim | asked for | broken |\n| --- | --- | --- |")
        for name in found[0][0]:
            click.echo(
                f"| {name} | {sum(held[name] for held, _, _ in found):,} | "
                f"{sum(broken[name] for _, broken, _ in found)} |"
            )
        click.echo(
            f"\n{count} days of 3 to 8 members, greatest age as a fraction of its bound "
            f"{max(worst for *_, worst in found):.2f}\n"
        )
        click.echo(
            "| members | lost | split seen by all, s | whole again, s | death seen by all, s | "
            "greatest age, s | bound, s | bytes/s: probes | state |"
        )
        click.echo("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
        rows = [measurements[case].result() for case in sorted(cases)]
        for n, p, split_seen, healed, death_seen, age, bound, probes, state in rows:
            click.echo(
                f"| {n} | {p:.0%} | {format_seconds(split_seen)} | {format_seconds(healed)} | "
                f"{format_seconds(death_seen)} | {format_seconds(age)} "
                f"| {bound} | {probes:.0f} | {state:.0f} |"
            )
            sys.stdout.flush()
    if chart:
        draw_chart(rows, chart)


def draw_chart(rows, path):
    """Draws the convergence times and the ages against the number of members."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.4))
    for share in sorted({row[1] for row in rows}):
        selected = [row for row in rows if row[1] == share]
        for column, label, style in (
            (2, "split seen", "-"),
            (3, "whole again", "--"),
            (4, "death seen", ":"),
        ):
            axes[0].plot(
                [row[0] for row in selected],
                [row[column] for row in selected],
                style,
                marker=".",
                label=f"{label}, {share:.0%} lost",
            )
        axes[1].plot(
            [row[0] for row in selected],
            [row[5] for row in selected],
            marker=".",
            label=f"greatest age, {share:.0%} lost",
        )
    axes[1].plot([row[0] for row in rows], [row[6] for row in rows], "k--", label="bound")
    for axis, label in zip(axes, ("until all agree, s", "age of what is told, s"), strict=False):
        axis.set(xscale="log", yscale="log", xlabel="members", ylabel=label)
        axis.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=120)


if __name__ == "__main__":
    main()
