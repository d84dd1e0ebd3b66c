"""Fits a law to a slope: a + b n, a + b n log n, a + b n squared; which one, how well, and how far off the
held-out size is.

Residuals are relative, since sizes span hundreds: each point weighs the same however small its value.
"""

from dataclasses import dataclass
from fractions import Fraction
from math import inf, log, sqrt

SIZES_NEEDED = 4  # three to fit and the largest to predict
GROWTH = {"n": lambda n: n, "n log n": lambda n: n * log(n) if n > 1 else 0.0, "n^2": lambda n: n * n}
MIN_WEIGHT_VALUE = 1e-12  # value under which a point is weighed as if it were so large


@dataclass(frozen=True)
class Law:
    """base + factor * growth(n)."""

    growth: str
    base: float
    factor: float

    def at(self, size):
        return self.base + self.factor * GROWTH[self.growth](size)


@dataclass(frozen=True)
class HeldOut:
    """The largest size, predicted from the others. `error` is relative to what was measured; of 0 it is
    infinite, unless that was predicted.
    """

    size: float
    measured: float
    predicted: float

    @property
    def error(self):
        if self.measured == 0:
            return 0.0 if self.predicted == 0 else inf
        return abs(self.predicted - self.measured) / abs(self.measured)


@dataclass(frozen=True)
class Fit:
    """`residuals`: root mean square of the relative residuals, by growth, over the sizes fitted. `held_out`:
    None for a guess.
    """

    law: Law
    residuals: dict
    held_out: HeldOut | None

    @property
    def residual(self):
        return self.residuals[self.law.growth]

    @property
    def is_guess(self):
        return self.held_out is None

    def at(self, size):
        return self.law.at(size)


def fit(points):
    """The Fit of (size, value) points, one a size."""
    points = sorted(points)
    if len(points) < SIZES_NEEDED:
        return Fit(*best_law(points), None)
    law, residuals = best_law(points[:-1])
    size, measured = points[-1]
    return Fit(law, residuals, HeldOut(size, measured, law.at(size)))


def best_law(points):
    """The law with the least residual, and each growth's residual. Of equals the slowest growth."""
    laws = [least_squares(growth, points) for growth in GROWTH]
    residuals = {law.growth: residual(law, points) for law in laws}
    return min(laws, key=lambda law: round(residuals[law.growth], 9)), residuals


def least_squares(growth, points):
    """The law of one growth with the least relative squares; a single size gives a constant.

    Solved in rational numbers: a linear-algebra library rounds differently on different processors, and the
    noise of a constant term that is zero would then stand on the page.
    """
    rows = [weighted_row(growth, size, value) for size, value in points]
    ones = sum(weight for weight, _, _ in rows)
    growths = sum(weight * growth_at for weight, growth_at, _ in rows)
    growth_squares = sum(weight * growth_at**2 for weight, growth_at, _ in rows)
    values = sum(weight * value for weight, _, value in rows)
    products = sum(weight * growth_at * value for weight, growth_at, value in rows)
    determinant = ones * growth_squares - growths**2
    if determinant == 0:  # one size, or sizes between which nothing grows
        return Law(growth, float(values / ones), 0.0)
    base = (values * growth_squares - products * growths) / determinant
    factor = (products * ones - values * growths) / determinant
    return Law(growth, float(base), float(factor))


def weighted_row(growth, size, value):
    """(weight, growth, value) of one point as fractions; the weight makes the squares relative."""
    weight = 1 / Fraction(max(abs(value), MIN_WEIGHT_VALUE)) ** 2
    return weight, Fraction(GROWTH[growth](size)), Fraction(value)


def residual(law, points):
    errors = [(law.at(size) - value) / max(abs(value), MIN_WEIGHT_VALUE) for size, value in points]
    return sqrt(sum(error * error for error in errors) / len(errors))
