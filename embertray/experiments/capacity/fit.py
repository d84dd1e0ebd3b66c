"""Fits a law to a slope: a + b n, a + b n log n or a + b n^2.

The fit says which law is best, its residual, and its error at the held-out largest size. Residuals are
relative, because sizes differ by factors of hundreds: each point weighs the same, however small its value.
"""

from dataclasses import dataclass
from fractions import Fraction
from math import inf, log, sqrt

SIZES_NEEDED = 4  # three to fit, and the largest to predict
GROWTH = {"n": lambda n: n, "n log n": lambda n: n * log(n) if n > 1 else 0.0, "n^2": lambda n: n * n}
MIN_WEIGHT_VALUE = 1e-12  # smaller values are weighted as if they were this large


@dataclass(frozen=True)
class Law:
    """base + factor * growth(n)."""

    growth: str
    base: float
    factor: float

    def at(self, size):
        """Returns the value at a size."""
        return self.base + self.factor * GROWTH[self.growth](size)


@dataclass(frozen=True)
class HeldOut:
    """The largest size, predicted from the others.

    Attributes:
        size: The size.
        measured: The value that was measured there.
        predicted: The value that the law predicts.
    """

    size: float
    measured: float
    predicted: float

    @property
    def error(self):
        """The error relative to the measured value; infinite if that is 0 and the prediction is not."""
        if self.measured == 0:
            return 0.0 if self.predicted == 0 else inf
        return abs(self.predicted - self.measured) / abs(self.measured)


@dataclass(frozen=True)
class Fit:
    """The best law of a slope.

    Attributes:
        law: The law.
        residuals: Root mean square of the relative residuals over the fitted sizes, by growth.
        held_out: The prediction of the largest size; None if there are too few sizes.
    """

    law: Law
    residuals: dict
    held_out: HeldOut | None

    @property
    def residual(self):
        """The residual of the fit's law."""
        return self.residuals[self.law.growth]

    @property
    def is_guess(self):
        """Whether there are too few sizes to hold one out."""
        return self.held_out is None

    def at(self, size):
        """Returns the value of the law at a size."""
        return self.law.at(size)


def fit(points):
    """Returns the Fit of (size, value) points, one per size."""
    points = sorted(points)
    if len(points) < SIZES_NEEDED:
        return Fit(*best_law(points), None)
    law, residuals = best_law(points[:-1])
    size, measured = points[-1]
    return Fit(law, residuals, HeldOut(size, measured, law.at(size)))


def best_law(points):
    """Returns the law with the least residual, and the residual by growth; of equals the slowest growth."""
    laws = [least_squares(growth, points) for growth in GROWTH]
    residuals = {law.growth: residual(law, points) for law in laws}
    return min(laws, key=lambda law: round(residuals[law.growth], 9)), residuals


def least_squares(growth, points):
    """Returns the law of one growth with the least relative squares; a single size gives a constant.

    Solved in rational numbers: a linear-algebra library rounds differently on different processors, and the
    noise in a constant term that is zero would then appear on the page.
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
    """Returns (weight, growth, value) of a point as fractions; the weight makes its square relative."""
    weight = 1 / Fraction(max(abs(value), MIN_WEIGHT_VALUE)) ** 2
    return weight, Fraction(GROWTH[growth](size)), Fraction(value)


def residual(law, points):
    """Returns the root mean square of the relative errors of a law."""
    errors = [(law.at(size) - value) / max(abs(value), MIN_WEIGHT_VALUE) for size, value in points]
    return sqrt(sum(error * error for error in errors) / len(errors))
