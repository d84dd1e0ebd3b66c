"""Plays a day of the control plane at the operators' target, compressed, under virtual time.

`python -m embertray.experiments.measure.control_day --compress 24` prints the times until writes were in
force, bytes, and checks of the claims, as JSON. Exit code 1 if a claim is broken.
"""

import json
import sys
import time

import click

from embertray.simulation.emulator.control.day_simulation import ControlDay, DayPlan

S = 10**9  # ns
QUANTILES = (0.5, 0.99, 0.999, 1.0)


@click.command()
@click.option("--compress", default=24, show_default=True, help="Factor by which the day is shortened.")
@click.option("--controllers", default=470, show_default=True)
@click.option("--replicas", default=8, show_default=True)
@click.option("--keys", default=3_840, show_default=True)
@click.option("--changes", default=1_500, show_default=True, help="Number of writes.")
@click.option("--seed", default=1, show_default=True)
def main(compress, controllers, replicas, keys, changes, seed):
    """Plays the day, and prints its figures as JSON."""
    plan = DayPlan(
        controllers=controllers,
        replicas=replicas,
        keys=keys,
        changes=changes,
        compress=compress,
        seed=seed,
    )
    began = time.process_time()
    day = ControlDay(plan).run()
    figures = summary(day)
    figures["emulator_processor_s"] = round(time.process_time() - began, 1)
    click.echo(json.dumps(figures, indent=1))
    sys.exit(0 if day.claims.kept else 1)


def summary(day):
    """Returns the figures of a finished ControlDay, ready for JSON."""
    simulation, claims = day.simulation, day.claims
    seconds = day.plan.duration / S
    subscribers = list(simulation.subscribers.values())
    return {
        "seconds": seconds,
        "events": {**day.counts, "writes acknowledged": simulation.writer.acknowledged},
        "writes_given_up": simulation.writer.given_up,
        "in_force_s": quantiles(claims.delays_while_reachable),
        "after_return_s": quantiles(claims.delays_after_return),
        "subscriber_bytes_a_second": {
            "mean": round(
                sum(subscriber.bytes_in + subscriber.bytes_out for subscriber in subscribers)
                / len(subscribers)
                / seconds
            ),
            "worst 10 s": round(max(subscriber.max_window_bytes for subscriber in subscribers) / 10),
        },
        "replica_bytes_out_a_second": round(
            max(replica.bytes_out for replica in simulation.replicas.values()) / seconds
        ),
        "held": dict(claims.checks),
        "broken": dict(claims.counts),
        "examples": [violation.text for violation in claims.broken[:5]],
    }


def quantiles(times):
    """Returns the count of times (ns) and their quantiles in s, for each of QUANTILES."""
    ordered = sorted(times)
    last = len(ordered) - 1
    figures = (
        {str(quantile): round(ordered[round(quantile * last)] / S, 2) for quantile in QUANTILES}
        if ordered
        else {}
    )
    return {"count": len(ordered), **figures}


if __name__ == "__main__":
    main()
