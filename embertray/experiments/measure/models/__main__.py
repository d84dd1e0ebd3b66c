"""Explores the models of the limits.

`python -m embertray.experiments.measure.models` prints how many states of each model were explored, and fails
with the moves that lead to a violation.
"""

import time

import click

from embertray.experiments.measure.explore import PropertyViolationError, explore

from . import LeaderModel, QuotaModel


@click.command()
@click.option("--most", default=2_000_000, show_default=True, help="Maximal number of states of each model.")
def main(most):
    """Explores each model up to a number of states."""
    for model in (LeaderModel(), LeaderModel(rounds=3, ticks=4, crashes=0), QuotaModel()):
        began = time.monotonic()
        try:
            states, whole = explore(model, most)
        except PropertyViolationError as found:
            raise click.ClickException(str(found)) from None
        click.echo(
            f"{type(model).__name__}: {states:,} states, {'all' if whole else 'not all'} "
            f"explored, no violation, {time.monotonic() - began:.0f} s"
        )


if __name__ == "__main__":
    main()
