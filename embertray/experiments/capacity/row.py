"""A row of the table: what one role spends on one thing in one situation, against what it may spend."""

from dataclasses import dataclass

from .figure import Figure
from .names import UNITS, Design, Origin, Part, Quantity, Reading, Role, Situation, Verdict

BOTH_READINGS = (Reading.CLUSTER, Reading.ALL)
ROUNDING_TOLERANCE = 1e-6  # of a factor, that is no shortfall
ALL_READING = (Reading.ALL,)
BOTH_DESIGNS = (Design.GOSSIP, Design.REPLICAS)


@dataclass(frozen=True)
class Judgement:
    """`factor`: times over the budget, None if not known or nothing is named. `unsure`: by as much as the
    slope missed its held-out size, the verdict could be the other.
    """

    verdict: Verdict
    factor: float | None = None
    uncertain: bool = False


def judge(value, budget, at_least=False, error=None):
    """`at_least`: the budget is the least that will do, not the most. `error`: relative, of the value."""
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


def shortfall(value, least):
    """Times that a value is under the least that will do."""
    return least / value if value > 0 else float("inf")


@dataclass(frozen=True)
class Row:
    """`figure` is a mean, `worst` the worst 10 s where that is another. `readings`: in which of them the row
    counts as control. `designs`: in which it is there at all. `adds_up`: it counts in the role's total.
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
        return UNITS[self.quantity]

    @property
    def judgement(self):
        """By the worst 10 s where they are known, else by the mean."""
        if self.figure.origin is Origin.NO_MECHANISM:
            return Judgement(Verdict.NO_MECHANISM)
        if not self.figure.known:
            return judge(None, self.budget)
        figure = self.figure
        if self.worst is not None and self.worst.known and self.worst.value > figure.value:
            figure = self.worst
        return judge(figure.value, self.budget, self.quantity is Quantity.SEEN, figure.error)


def budget_of(target, role, quantity):
    """What the target grants for it, None where it names nothing."""
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
    """Collects rows of one role and situation."""

    def __init__(self, target, role, situation):
        self.target, self.role, self.situation, self.rows = target, role, situation, []

    def add(self, part, quantity, figure, mechanism, **options):
        budget = budget_of(self.target, self.role, quantity)
        self.rows.append(Row(self.role, part, self.situation, quantity, figure, mechanism, budget, **options))
