"""Compares the failure detector with plain heartbeats and phi accrual under virtual time.

`python -m embertray.experiments.measure.cluster` prints a Markdown table with a row for each size, loss and
detector: the time until every living member takes a killed one for dead, false deaths, and bytes sent.
"""

import random
import sys

import click

from embertray.cluster.membership import DEAD, Membership
from embertray.simulation.emulator.detectors import HeartbeatDetector, PhiAccrualDetector
from embertray.simulation.emulator.engine import NS_PER_SECOND as S
from embertray.simulation.emulator.membership_simulation import MembershipSimulation

DETECTORS = {"swim": Membership, "heartbeats": HeartbeatDetector, "phi": PhiAccrualDetector}


def start_simulation(detector, members, seed):
    """Starts a simulated cluster with the given detector; detectors without joins get 20 s to converge."""
    simulation = MembershipSimulation(seed, core_type=DETECTORS[detector])
    if detector == "swim":
        return simulation.start_cluster(members)
    for n in range(members):
        simulation.start_member(f"m{n}", [f"m{k}" for k in range(members)])
    simulation.run(20 * S)
    return simulation


def false_deaths(simulation, excluded=()):
    """Counts the living members that were declared dead, each once, by whichever member."""
    return len(
        {
            change.name
            for _, _, change in simulation.changes
            if change.state == DEAD and change.name not in excluded
        }
    )


def measure_run(detector, members, loss, seed, calm, kills, pause=0):
    """Runs one cluster: `calm` seconds with loss, then `kills` members killed one after the other.

    During the first phase a random member is stopped for `pause` ns every 20 s. Returns the detection
    times in s (300 if not detected), the number of false deaths, and bytes per second and member.
    """
    simulation, rng = start_simulation(detector, members, seed), random.Random(seed)
    simulation.links.loss, before, began = loss, sum(simulation.bytes_sent.values()), simulation.engine.time
    for _second in range(0, calm, 20):
        if pause:
            paused = simulation.processes[f"m{rng.randrange(members)}"]
            paused.pause()
            simulation.run(pause)
            paused.resume()
        simulation.run(20 * S - pause)
    span = (simulation.engine.time - began) / S
    rate, false_count, detection_times = (
        (sum(simulation.bytes_sent.values()) - before) / span / members,
        false_deaths(simulation),
        [],
    )
    for n in range(kills):
        name = f"m{members - 1 - n}"
        simulation.kill(name)
        elapsed = simulation.run_until(
            lambda: all(p.core.members[name].state == DEAD for p in simulation.running_processes()), 300 * S
        )
        detection_times.append(300.0 if elapsed is None else elapsed / S)
    return detection_times, false_count, rate


@click.command()
@click.option("--seeds", default=10, show_default=True)
@click.option("--calm", default=120, show_default=True, help="Seconds with loss before the kills.")
@click.option("--members", default="3,8,32,128", show_default=True)
@click.option("--loss", default="0,0.1,0.3", show_default=True)
@click.option(
    "--pause", default=0.0, show_default=True, help="Seconds for which one member is stopped, every 20 s."
)
def main(seeds, calm, members, loss, pause):
    """Runs every size, loss and detector over all seeds, and prints the table."""
    click.echo(
        "| members | lost | detector | dead at all: p50 | p99 | max, s | false deaths an hour of a "
        "member | bytes/s a member |"
    )
    click.echo("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for count in map(int, members.split(",")):
        for share in map(float, loss.split(",")):
            for detector in DETECTORS:
                runs = [
                    measure_run(detector, count, share, seed, calm, 1 if count < 8 else 3, int(pause * S))
                    for seed in range(seeds)
                ]
                detection_times = sorted(second for times, _, _ in runs for second in times)
                false_count = sum(deaths for _, deaths, _ in runs) / (seeds * calm * count) * 3600
                rate = sum(rate for _, _, rate in runs) / seeds
                p50, p99 = (
                    detection_times[len(detection_times) // 2],
                    detection_times[min(len(detection_times) - 1, int(0.99 * len(detection_times)))],
                )
                click.echo(
                    f"| {count} | {share:.0%} | {detector} | {p50:.1f} | {p99:.1f} | "
                    f"{detection_times[-1]:.1f} | "
                    f"{false_count:.2f} | {rate:.0f} |"
                )
                sys.stdout.flush()


if __name__ == "__main__":
    main()
