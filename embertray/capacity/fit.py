"""Fits a law to a slope: a + b n, a + b n log n, a + b n squared; which one, how well, and how far off the
held-out size is.

Residuals are relative, since sizes span hundreds: each point weighs the same however small its value.
"""

from dataclasses import dataclass
from math import inf, log, sqrt

import numpy as np

SIZES_NEEDED = 4  # three to fit and the largest to predict
GROWTH = {"n": lambda n: n, "n log n": lambda n: n * log(n) if n > 1 else 0.0, "n^2": lambda n: n * n}
SMALLEST = 1e-12  # value under which a point is weighed as if it were so large


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
        return Fit(*best(points), None)
    law, residuals = best(points[:-1])
    size, measured = points[-1]
    return Fit(law, residuals, HeldOut(size, measured, law.at(size)))


def best(points):
    """The law with the least residual, and each growth's residual. Of equals the slowest growth."""
    laws = [least_squares(growth, points) for growth in GROWTH]
    residuals = {law.growth: residual(law, points) for law in laws}
    return min(laws, key=lambda law: round(residuals[law.growth], 9)), residuals


def least_squares(growth, points):
    """The law of one growth with the least relative squares; a single size gives a constant."""
    weights = np.array([1 / max(abs(value), SMALLEST) for _, value in points])
    values = np.array([value for _, value in points], float)
    if len(points) < 2:
        return Law(growth, float(values[0]), 0.0)
    columns = np.array([[1.0, GROWTH[growth](size)] for size, _ in points])
    found, *_ = np.linalg.lstsq(columns * weights[:, None], values * weights, rcond=None)
    return Law(growth, float(found[0]), float(found[1]))


def residual(law, points):
    errors = [(law.at(size) - value) / max(abs(value), SMALLEST) for size, value in points]
    return sqrt(sum(error * error for error in errors) / len(errors))
