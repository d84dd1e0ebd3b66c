"""A row of the table: what one role spends on one thing in one situation, against what it may spend."""

from dataclasses import dataclass

from .figure import Figure
from .names import UNITS, Design, Origin, Part, Quantity, Reading, Role, Situation, Verdict

BOTH_READINGS = (Reading.CLUSTER, Reading.ALL)
ONLY_ALL = (Reading.ALL,)
BOTH_DESIGNS = (Design.GOSSIP, Design.REPLICAS)


@dataclass(frozen=True)
class Judged:
    """`factor`: times over the budget, None if not known or nothing is named."""

    verdict: Verdict
    factor: float | None = None


def judge(value, budget, at_least=False):
    """`at_least`: the budget is the least that will do, not the most."""
    if budget is None:
        return Judged(Verdict.NO_BUDGET)
    if value is None:
        return Judged(Verdict.UNKNOWN)
    factor = shortfall(value, budget) if at_least else value / budget
    return Judged(Verdict.FITS if factor <= 1 else Verdict.SHORT, factor)


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
    adds_up: bool = False

    @property
    def unit(self):
        return UNITS[self.quantity]

    @property
    def judged(self):
        """By the worst 10 s where they are known, else by the mean."""
        if self.figure.origin is Origin.NO_MECHANISM:
            return Judged(Verdict.NO_MECHANISM)
        values = [one.value for one in (self.figure, self.worst) if one is not None and one.known]
        value = max(values) if values and self.figure.known else None
        return judge(value, self.budget, self.quantity is Quantity.SEEN)


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


class Rows:
    """Collects rows of one role and situation."""

    def __init__(self, target, role, situation):
        self.target, self.role, self.situation, self.rows = target, role, situation, []

    def add(self, part, quantity, figure, mechanism, **more):
        budget = budget_of(self.target, self.role, quantity)
        self.rows.append(Row(self.role, part, self.situation, quantity, figure, mechanism, budget, **more))
