"""The whole table: rows of all roles and situations, totals by reading and design, largest shortfalls."""

from dataclasses import dataclass

from . import control_plane, controller, failures, other_roles
from .figure import Slopes
from .names import UNITS, Design, Quantity, Reading, Role, Situation, Verdict
from .row import Judgement, budget_of, judge

TOTAL_QUANTITIES = (Quantity.PROCESSOR, Quantity.MEMORY, Quantity.BYTES_IN, Quantity.BYTES_OUT)
LARGEST_COUNT = 3
STEADY = (Situation.CALM, Situation.PEAK)
FAILURES = tuple(situation for situation in Situation if situation not in STEADY)


@dataclass(frozen=True)
class Total:
    """What one controller spends on all parts at the peak.

    Attributes:
        reading: The reading of the budget.
        design: The design.
        quantity: What is added up.
        unit: Its unit.
        known: The sum of the parts that are known.
        missing: The parts that are not known.
        budget: The budget.
    """

    reading: Reading
    design: Design
    quantity: str
    unit: str
    known: float
    missing: tuple
    budget: float

    @property
    def judgement(self):
        """The verdict on the known parts; not known if these fit the budget and other parts are missing."""
        found = judge(self.known, self.budget)
        if self.missing and found.verdict is Verdict.FITS:
            return Judgement(Verdict.UNKNOWN)
        return found


@dataclass(frozen=True)
class Table:
    """The rows and totals of a target, with the slopes behind them."""

    target: object
    slopes: Slopes
    rows: tuple
    totals: tuple

    def largest(self, reading, design, situations, count=LARGEST_COUNT):
        """Returns the rows that fall short by the largest factors, one of each role, part and unit."""
        short = [
            row
            for row in self.rows
            if reading in row.readings
            and design in row.designs
            and row.situation in situations
            and row.judgement.verdict is Verdict.SHORT
        ]
        short.sort(key=lambda row: -row.judgement.factor)
        largest_rows = {}
        for row in short:
            largest_rows.setdefault((row.role, row.part, row.unit), row)
        return list(largest_rows.values())[:count]

    def of(self, situation):
        """Returns the rows of a situation."""
        return [row for row in self.rows if row.situation is situation]


def compute(target, by_name):
    """Returns the Table of a target, from slopes by name."""
    slopes = Slopes(by_name)
    rows = (
        *controller.steady_rows(target, slopes),
        *other_roles.steady_rows(target, slopes),
        *control_plane.rows(target),
        *failures.rows(target, slopes),
    )
    order = list(Situation)
    rows = tuple(sorted(rows, key=lambda row: order.index(row.situation)))
    return Table(target, slopes, rows, tuple(totals(target, rows)))


def rows_in_total(rows, reading, design, quantity):
    """Returns a controller's rows that make up a total.

    These are the rows of the calm, whose cost continues at the peak, and those of the peak.
    """
    return [
        row
        for row in rows
        if row.in_total
        and row.role is Role.CONTROLLER
        and row.situation in STEADY
        and row.quantity is quantity
        and reading in row.readings
        and design in row.designs
    ]


def totals(target, rows):
    """Yields the totals of each design and reading."""
    for design in Design:
        for reading in Reading:
            sums = {}
            for quantity in TOTAL_QUANTITIES:
                parts = rows_in_total(rows, reading, design, quantity)
                known = sum(row.figure.value for row in parts if row.figure.known)
                missing = tuple(f"{row.part}" for row in parts if not row.figure.known)
                sums[quantity] = known, missing
            for quantity in (Quantity.PROCESSOR, Quantity.MEMORY):
                yield total(target, reading, design, quantity, *sums[quantity])
            both = (sums[Quantity.BYTES_IN], sums[Quantity.BYTES_OUT])
            known = sum(value for value, _ in both)
            missing = tuple(dict.fromkeys(part for _, parts in both for part in parts))
            yield total(target, reading, design, Quantity.BYTES_OUT, known, missing, "bytes in and out")


def total(target, reading, design, quantity, known, missing, name=None):
    """Returns the Total of a controller's parts."""
    budget = budget_of(target, Role.CONTROLLER, quantity)
    return Total(reading, design, name or str(quantity), UNITS[quantity], known, missing, budget)


def vary_assumptions(target, by_name):
    """Yields (assumption, value, Table) for each other value that an assumption is varied to."""
    for assumption in target.assumptions:
        for value in assumption.vary:
            if value != assumption.value:
                yield assumption, value, compute(target.with_assumed(assumption.name, value), by_name)
