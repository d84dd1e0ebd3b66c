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


def kill(site, n):
    """Kills a process and starts it again; yields the condition that all others take it for dead."""
    name = site.names[n % len(site.names)]
    site.kill(name)
    yield lambda: site.all_report(**{name: "dead"})
    site.up(name)


def stop(site, n):
    """Stops a process and resumes it; yields the condition that all others take it for dead."""
    name = site.names[n % len(site.names)]
    site.pause(name)
    yield lambda: site.all_report(**{name: "dead"})
    site.resume(name)


def split(site, n):
    """Partitions the processes into halves and heals the links.

    Yields the condition that each process sees only its own half alive.
    """
    half = len(site.names) // 2
    order = site.names[n % len(site.names) :] + site.names[: n % len(site.names)]
    one, other = order[:half], order[half:]
    site.links.split(one, other)
    yield lambda: all(
        site.states(name)
        == {m: "alive" if (m in one) == (name in one) else "dead" for m in site.names if m != name}
        for name in site.names
    )
    site.links.heal()


def play(site, wound, times):
    """Injects a fault `times` times, and waits for detection and recovery each time.

    Returns [(seconds until all saw it, seconds until all were alive again)] and the greatest age of the
    shared state as a fraction of its bound.
    """
    alive, rows, worst = dict.fromkeys(site.names, "alive"), [], 0.0
    site.wait(lambda: site.all_report(**alive), "every process sees all others alive")
    for n in range(times):
        steps = wound(site, n)
        seen = site.wait(next(steps), f"{wound.__name__} {n} is detected by all", 60)
        next(steps, None)
        began = time.monotonic()
        site.wait(lambda: site.all_report(**alive), "every process sees all others alive again", 60)
        rows.append((seen, time.monotonic() - began))
        site.wait(site.all_within_bound, "the shared state is within its bound", site.staleness_bound() + 10)
        age, bound = site.max_entry_age(5)
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
            site, found = LinkedClusterMembers(folder, members), []

            async def run():
                async with anyio.create_task_group() as group:
                    await group.start(site.links.run)
                    for one in site.names:
                        site.up(one)
                    found.append(
                        await anyio.to_thread.run_sync(
                            play, site, {"kill": kill, "stop": stop, "split": split}[name], times
                        )
                    )
                    group.cancel_scope.cancel()

            try:
                anyio.run(run)
            finally:
                site.end()
        rows, worst = found[0]

        def at(part, column):
            ranked = sorted(row[column] for row in rows)
            return f"{ranked[min(len(ranked) - 1, int(part * len(ranked)))] * 1000 / PROBE_PERIOD_MS:.1f}"

        click.echo(
            f"| {name} | {len(rows)} | "
            + " | ".join(at(p, c) for c in (0, 1) for p in (0.5, 0.99, 1.0))
            + f" | {worst:.2f} |"
        )


if __name__ == "__main__":
    main()
