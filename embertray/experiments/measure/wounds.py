"""Measures how real cluster processes on loopback recover from kills, stops and partitions.

`python -m embertray.experiments.measure.wounds` injects faults one after the other and prints a Markdown
table. Times are in protocol periods: from the fault until every process reports it, and from its end until
every process sees all others alive. After each fault the greatest age of the shared state is compared with
its bound.
"""

import tempfile
import time

import anyio
import click

from embertray.simulation.processes.cluster_members import PROBE_PERIOD_MS, LinkedClusterMembers


def kill(cluster, n):
    """Kills a process and starts it again; yields the condition that all others take it for dead."""
    name = cluster.names[n % len(cluster.names)]
    cluster.kill(name)
    yield lambda: cluster.all_report(**{name: "dead"})
    cluster.up(name)


def stop(cluster, n):
    """Stops a process and resumes it; yields the condition that all others take it for dead."""
    name = cluster.names[n % len(cluster.names)]
    cluster.pause(name)
    yield lambda: cluster.all_report(**{name: "dead"})
    cluster.resume(name)


def split(cluster, n):
    """Partitions the processes into halves and heals the links.

    Yields the condition that each process sees only its own half alive.
    """
    half = len(cluster.names) // 2
    order = cluster.names[n % len(cluster.names) :] + cluster.names[: n % len(cluster.names)]
    first, second = order[:half], order[half:]
    cluster.links.split(first, second)
    yield lambda: all(
        cluster.states(name)
        == {m: "alive" if (m in first) == (name in first) else "dead" for m in cluster.names if m != name}
        for name in cluster.names
    )
    cluster.links.heal()


def inject_faults(cluster, fault, times):
    """Injects a fault `times` times, and waits for detection and recovery each time.

    Returns [(seconds until all saw it, seconds until all were alive again)] and the greatest age of the
    shared state as a fraction of its bound.
    """
    alive, rows, worst = dict.fromkeys(cluster.names, "alive"), [], 0.0
    cluster.wait(lambda: cluster.all_report(**alive), "every process sees all others alive")
    for n in range(times):
        steps = fault(cluster, n)
        detected_s = cluster.wait(next(steps), f"{fault.__name__} {n} is detected by all", 60)
        next(steps, None)
        began = time.monotonic()
        cluster.wait(lambda: cluster.all_report(**alive), "every process sees all others alive again", 60)
        rows.append((detected_s, time.monotonic() - began))
        cluster.wait(
            cluster.all_within_bound, "the shared state is within its bound", cluster.staleness_bound() + 10
        )
        age, bound = cluster.max_entry_age(5)
        worst = max(worst, age / bound)
    return rows, worst


@click.command()
@click.option("--members", default=4, show_default=True)
@click.option("--times", default=50, show_default=True)
@click.option(
    "--wound",
    "only",
    type=click.Choice(["kill", "stop", "split"]),
    multiple=True,
    default=["kill", "stop", "split"],
)
def main(members, times, only):
    """Injects the chosen faults into a fresh cluster each, and prints the table."""
    click.echo(
        "| wound | times | seen by all: p50 | p99 | max | whole again: p50 | p99 | max | greatest "
        "age of the bound |"
    )
    click.echo("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for name in only:
        with tempfile.TemporaryDirectory() as folder:
            cluster, results = LinkedClusterMembers(folder, members), []

            async def run():
                async with anyio.create_task_group() as group:
                    await group.start(cluster.links.run)
                    for member in cluster.names:
                        cluster.up(member)
                    results.append(
                        await anyio.to_thread.run_sync(
                            inject_faults, cluster, {"kill": kill, "stop": stop, "split": split}[name], times
                        )
                    )
                    group.cancel_scope.cancel()

            try:
                anyio.run(run)
            finally:
                cluster.end()
        rows, worst = results[0]

        def quantile_periods(share, column):
            ranked = sorted(row[column] for row in rows)
            return f"{ranked[min(len(ranked) - 1, int(share * len(ranked)))] * 1000 / PROBE_PERIOD_MS:.1f}"

        click.echo(
            f"| {name} | {len(rows)} | "
            + " | ".join(quantile_periods(p, c) for c in (0, 1) for p in (0.5, 0.99, 1.0))
            + f" | {worst:.2f} |"
        )


if __name__ == "__main__":
    main()
