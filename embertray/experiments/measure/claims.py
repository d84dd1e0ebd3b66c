"""`python -m embertray.experiments.measure.claims`: days of wounds drawn by seed on members in virtual time,
each look
held against what the cluster claims; then one split into halves that heals, and one death, at sizes up to
256. Prints Markdown tables; --chart writes one."""

import sys
from concurrent.futures import ProcessPoolExecutor

import click

from embertray.simulation.emulator.cluster_simulation import ClusterSimulation
from embertray.simulation.emulator.random_faults import random_faults
from embertray.simulation.scenarios import notation

S = 10**9
CALM, CUT = 20, 40  # s before the split, and that it lasts at the least


def drawn(seed, members):
    claims = ClusterSimulation(notation.read(random_faults(seed, members)), seed).play().claims
    return dict(claims.checks), {name: len(why) for name, why in claims.broken.items()}, claims.worst


class Moments(ClusterSimulation):
    """Also: when all took all for what they are, after each wound."""

    def split(self, names):
        half = len(names) // 2
        self.links.split(names[:half], names[half:], now=self.engine.time)
        return {name: set(names[:half] if name in names[:half] else names[half:]) for name in names}

    def until(self, wanted, most):
        """s until `wanted(name, those that it takes to be there)` holds at all; None if it does not within
        `most` s.
        """
        began = self.engine.time
        while self.engine.time < began + most * S:
            if all(
                wanted(name, {name} | {m.name for m in exchanger.process.core.active_members})
                for name, exchanger in self.exchangers.items()
            ):
                return (self.engine.time - began) / S
            self.engine.run(self.engine.time + S // 10)
        return None

    def told(self):
        """Greatest age that anybody holds of anybody, s; None while something is not held."""
        now, count = self.engine.time, len(self.exchangers)
        rows = [
            [known.age_ns for known in exchanger.store.latest_values(now, "facts")]
            for exchanger in self.exchangers.values()
        ]
        return max(map(max, rows)) / S if all(len(ages) == count for ages in rows) else None


def moments(members, loss, seed):
    """(members, loss, s until a split is seen by all, s until all are whole again, s until one's death is
    seen by all, greatest age before any wound, its bound, bytes/s of probes and of state before any wound)"""
    simulation = Moments(
        notation.read(f"fleet controllers={members} cluster=yes period=1s\nload 1/s for 1s"),
        seed,
        observation_period=10_000 * S,
    )
    names = list(simulation.links.members)
    simulation.engine.start(simulation.all_up(names))
    simulation.engine.run(simulation.zero)
    simulation.until(lambda name, here: here == set(names), 200)
    simulation.links.each(now=simulation.engine.time, drop=loss)
    simulation.engine.run(simulation.engine.time + max(CALM, 2 * members + 5) * S)
    bound, age = (2 * (members - 1) + 2 + 1), simulation.told()
    began, before = (
        simulation.engine.time,
        (
            sum(simulation.membership.bytes_sent.values()),
            sum(s.bytes_sent for s in simulation.exchangers.values()),
        ),
    )
    simulation.engine.run(began + CALM * S)
    rates = [
        (now - was) / CALM / members
        for now, was in zip(
            (
                sum(simulation.membership.bytes_sent.values()),
                sum(s.bytes_sent for s in simulation.exchangers.values()),
            ),
            before,
            strict=False,
        )
    ]
    side = simulation.split(names)
    seen = simulation.until(lambda name, here: here == side[name], 400)
    simulation.links.straight(simulation.engine.time, simulation.links.pairs(), ("open",))
    whole = simulation.until(lambda name, here: here == set(names), 400)
    simulation.kill(names[-1])
    death = simulation.until(lambda name, here: here == set(names[:-1]), 400)
    return members, loss, seen, whole, death, age, bound, *rates


def shown(value):
    return "-" if value is None else f"{value:.1f}"


@click.command()
@click.option("--days", "count", default=100, show_default=True)
@click.option("--members", default="3,8,32,128", show_default=True)
@click.option("--loss", default="0,0.3", show_default=True)
@click.option("--workers", default=4, show_default=True)
@click.option("--chart", type=click.Path(), help="A PNG of the second table.")
def main(count, members, loss, workers, chart):
    sizes, shares = [int(n) for n in members.split(",")], [float(p) for p in loss.split(",")]
    with ProcessPoolExecutor(workers) as pool:
        cases = sorted(((n, p) for n in sizes for p in shares), reverse=True)  # the longest first
        later = {case: pool.submit(moments, *case, 1) for case in cases}
        found = list(pool.map(drawn, range(count), [3 + seed % 6 for seed in range(count)]))
        click.echo("| claim | asked for | broken |\n| --- | --- | --- |")
        for name in found[0][0]:
            click.echo(
                f"| {name} | {sum(held[name] for held, _, _ in found):,} | "
                f"{sum(broken[name] for _, broken, _ in found)} |"
            )
        click.echo(
            f"\n{count} days of 3 to 8 members, greatest age of its bound "
            f"{max(worst for *_, worst in found):.2f}\n"
        )
        click.echo(
            "| members | lost | split seen by all, s | whole again, s | death seen by all, s | "
            "greatest age, s | bound, s | bytes/s: probes | state |"
        )
        click.echo("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
        rows = [later[case].result() for case in sorted(cases)]
        for n, p, seen, whole, death, age, bound, probes, state in rows:
            click.echo(
                f"| {n} | {p:.0%} | {shown(seen)} | {shown(whole)} | {shown(death)} | {shown(age)} "
                f"| {bound} | {probes:.0f} | {state:.0f} |"
            )
            sys.stdout.flush()
    if chart:
        draw(rows, chart)


def draw(rows, path):
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.4))
    for share in sorted({row[1] for row in rows}):
        mine = [row for row in rows if row[1] == share]
        for column, words, style in (
            (2, "split seen", "-"),
            (3, "whole again", "--"),
            (4, "death seen", ":"),
        ):
            axes[0].plot(
                [row[0] for row in mine],
                [row[column] for row in mine],
                style,
                marker=".",
                label=f"{words}, {share:.0%} lost",
            )
        axes[1].plot(
            [row[0] for row in mine],
            [row[5] for row in mine],
            marker=".",
            label=f"greatest age, {share:.0%} lost",
        )
    axes[1].plot([row[0] for row in rows], [row[6] for row in rows], "k--", label="bound")
    for axis, words in zip(axes, ("until all agree, s", "age of what is told, s"), strict=False):
        axis.set(xscale="log", yscale="log", xlabel="members", ylabel=words)
        axis.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=120)


if __name__ == "__main__":
    main()
