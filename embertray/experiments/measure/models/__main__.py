"""`python -m embertray.experiments.measure.models`: prints how many states of each model were looked at, and
what was found.
"""

import time

import click

from embertray.experiments.measure.explore import Found, explore

from . import LeaderModel, LoansModel


@click.command()
@click.option("--most", default=2_000_000, show_default=True, help="States of each at most.")
def main(most):
    for model in (LeaderModel(), LeaderModel(rounds=3, ticks=4, crashes=0), LoansModel()):
        began = time.monotonic()
        try:
            states, whole = explore(model, most)
        except Found as found:
            raise click.ClickException(str(found)) from None
        click.echo(
            f"{type(model).__name__}: {states:,} states, {'all' if whole else 'not all'} looked "
            f"at, none wrong, {time.monotonic() - began:.0f} s"
        )


if __name__ == "__main__":
    main()
