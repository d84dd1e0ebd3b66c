"""A row of the table: what one role spends on one part in one situation, against its budget."""

from dataclasses import dataclass

from .figure import Figure
from .names import UNITS, Design, Origin, Part, Quantity, Reading, Role, Situation, Verdict

BOTH_READINGS = (Reading.CLUSTER, Reading.ALL)
ROUNDING_TOLERANCE = 1e-6  # excess of a factor over 1 that counts as rounding
ALL_READING = (Reading.ALL,)
BOTH_DESIGNS = (Design.GOSSIP, Design.REPLICAS)


@dataclass(frozen=True)
class Judgement:
    """A verdict with its factor.

    Attributes:
        verdict: The verdict.
        factor: The value divided by the budget, or a minimum divided by the value: over 1 if the budget is
            missed. None if the value is not known or there is no budget.
        uncertain: Whether the slope's error at its held-out size could reverse the verdict.
    """

    verdict: Verdict
    factor: float | None = None
    uncertain: bool = False


def judge(value, budget, at_least=False, error=None):
    """Compares a value with its budget.

    Args:
        value: The value; None if it is not known.
        budget: The budget; None if the target names none.
        at_least: Whether the budget is a minimum instead of a maximum.
        error: Relative error of the value; None if there is none.

    Returns:
        The Judgement.
    """
    if budget is None:
        return Judgement(Verdict.NO_BUDGET)
    if value is None:
        return Judgement(Verdict.UNKNOWN)
    factor = shortfall(value, budget) if at_least else value / budget
    max_factor = 1 + ROUNDING_TOLERANCE
    fits = factor <= max_factor
    uncertain = error is not None and (
        factor * (1 + error) > max_factor if fits else factor / (1 + error) <= max_factor
    )
    return Judgement(Verdict.FITS if fits else Verdict.SHORT, factor, uncertain)


def shortfall(value, minimum):
    """Returns the factor by which a value is below the minimum."""
    return minimum / value if value > 0 else float("inf")


@dataclass(frozen=True)
class Row:
    """A row of the table.

    Attributes:
        role: The role that spends it.
        part: The part of its work.
        situation: When it is spent.
        quantity: What is spent.
        figure: The mean.
        mechanism: What in the program causes it.
        budget: What the target allows; None if it names nothing.
        worst: The mean over the worst 10 s, where it differs.
        readings: The readings of the budget in which the row counts as control.
        designs: The designs that have the row.
        in_total: Whether it counts in the role's total.
    """

    role: Role
    part: Part
    situation: Situation
    quantity: Quantity
    figure: Figure
    mechanism: str
    budget: float | None
    worst: Figure | None = None
    readings: tuple = BOTH_READINGS
    designs: tuple = BOTH_DESIGNS
    in_total: bool = False

    @property
    def unit(self):
        """The unit of the quantity."""
        return UNITS[self.quantity]

    @property
    def judgement(self):
        """The verdict on the worst 10 s if they are known and exceed the mean, else on the mean."""
        if self.figure.origin is Origin.NO_MECHANISM:
            return Judgement(Verdict.NO_MECHANISM)
        if not self.figure.known:
            return judge(None, self.budget)
        figure = self.figure
        if self.worst is not None and self.worst.known and self.worst.value > figure.value:
            figure = self.worst
        return judge(figure.value, self.budget, self.quantity is Quantity.SEEN, figure.error)


def budget_of(target, role, quantity):
    """Returns what the target allows for a quantity of a role; None if it names nothing."""
    if quantity in (Quantity.IN_FORCE, Quantity.OLDEST, Quantity.STALENESS):
        return target.in_force_within
    if quantity is Quantity.ADDED:
        return target.added_at_p99
    if quantity is Quantity.SEEN:
        return target.controllers
    per_role = {
        Role.CONTROLLER: {
            Quantity.PROCESSOR: target.cores,
            Quantity.MEMORY: target.memory,
            Quantity.STATE: target.memory,
            Quantity.BYTES_IN: target.bytes_a_second,
            Quantity.BYTES_OUT: target.bytes_a_second,
        },
        Role.REPLICA: {
            Quantity.PROCESSOR: target.assumed("control-machine-cores"),
            Quantity.MEMORY: target.assumed("control-machine-memory-mb") * 1e6,
            Quantity.STATE: target.assumed("control-machine-memory-mb") * 1e6,
            Quantity.BYTES_IN: target.assumed("control-machine-bytes-a-second"),
            Quantity.BYTES_OUT: target.assumed("control-machine-bytes-a-second"),
        },
    }
    return per_role.get(role, {}).get(quantity)


class RowBuilder:
    """Collects the rows of one role and situation.

    Args:
        target: The target, which names the budgets.
        role: The role.
        situation: The situation.
    """

    def __init__(self, target, role, situation):
        self.target, self.role, self.situation, self.rows = target, role, situation, []

    def add(self, part, quantity, figure, mechanism, **options):
        """Adds a row with its budget; `options` are further attributes of Row."""
        budget = budget_of(self.target, self.role, quantity)
        self.rows.append(Row(self.role, part, self.situation, quantity, figure, mechanism, budget, **options))
