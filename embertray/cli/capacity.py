"""`embertray capacity`: estimates the cost of a fleet of a target size from measured slopes."""

import json
from pathlib import Path

import click

from .standin import InputError

SLOPES = Path(__file__).resolve().parents[2] / "docs" / "measured" / "capacity"


@click.command()
@click.argument("target", type=click.Path(), required=False)
@click.option("--json", "as_json", is_flag=True, help="Print the table as one JSON object.")
@click.option(
    "--page", "as_page", is_flag=True, help="Print the whole page, docs/CAPACITY.md, for its target."
)
@click.option(
    "--slopes",
    type=click.Path(),
    default=SLOPES,
    help="Folder of measured slopes; default: those of this repository.",
)
def capacity(target, as_json, as_page, slopes):
    """Show the cost of each role at the size that TARGET.xml describes, and which budgets are kept.

    Without TARGET.xml, the operators' target is used, a sample that is part of the program.
    """
    from embertray.experiments.capacity import page, report
    from embertray.experiments.capacity.slope import SlopeError, load_all
    from embertray.experiments.capacity.table import compute
    from embertray.experiments.capacity.target import OPERATORS, TargetError, load

    if as_json and as_page:
        raise InputError("capacity: --json or --page, not both")
    try:
        slopes_by_name = load_all(slopes)
        result = compute(load(target or OPERATORS), slopes_by_name)
    except (TargetError, SlopeError) as error:
        raise InputError(str(error)) from None
    if as_json:
        click.echo(json.dumps(report.as_data(result)))
    elif as_page:
        charts = [path.name for path in Path(slopes).glob("*.png")]
        click.echo(page.page(result, slopes_by_name, charts), nl=False)
    else:
        click.echo(page.tables(result), nl=False)
