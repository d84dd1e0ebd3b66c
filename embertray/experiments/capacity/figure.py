"""Figures with their origin: taken from a slope, or calculated from other figures."""

from dataclasses import dataclass

from .fit import fit
from .names import Origin

REPORTED_PREFIX = "reported-"  # prefix of slopes that are used until they are measured again


@dataclass(frozen=True)
class Figure:
    """A value with its origin.

    Attributes:
        value: The value; None if it is not known.
        origin: Where it comes from.
        source: The slope's name, the formula, or what is missing.
        slopes: Names of all slopes that it depends on.
        error: Relative error of the slope at its held-out size; None if the value is not predicted.
    """

    value: float | None
    origin: Origin
    source: str
    slopes: tuple = ()
    error: float | None = None

    @property
    def known(self):
        """Whether the figure has a value."""
        return self.value is not None


def unknown(reason):
    """Returns a figure that is not known; `reason` says what is missing."""
    return Figure(None, Origin.UNKNOWN, reason)


def no_mechanism(reason):
    """Returns the figure of something that the design has no mechanism for."""
    return Figure(None, Origin.NO_MECHANISM, reason)


def calculated(formula, value):
    """Returns a figure that depends on no slope."""
    return Figure(float(value), Origin.CALCULATED, formula)


def derived(formula, function, *figures):
    """Returns function(*values) of figures, described by `formula`; not known if one of them is not."""
    slopes = tuple(dict.fromkeys(name for figure in figures for name in figure.slopes))
    missing = [figure.source for figure in figures if not figure.known]
    if missing:
        return Figure(None, Origin.UNKNOWN, "; ".join(dict.fromkeys(missing)), slopes)
    return Figure(float(function(*(figure.value for figure in figures))), Origin.CALCULATED, formula, slopes)


class Slopes:
    """The slopes that are available, with their fits.

    Args:
        by_name: Slopes by their names.
    """

    def __init__(self, by_name):
        self.by_name = by_name
        self.fits = {name: fit(slope.medians()) for name, slope in by_name.items()}
        self.requested = set()  # names that were looked up, whether they exist or not

    def find(self, name):
        """Returns the name of a slope, or of the reported one in its place; None if neither exists."""
        self.requested |= {name, REPORTED_PREFIX + name}
        return next(
            (candidate for candidate in (name, REPORTED_PREFIX + name) if candidate in self.by_name), None
        )

    def at(self, name, size):
        """Returns the Figure of a slope at a size: measured there, or predicted by its law and at least 0."""
        slope_name = self.find(name)
        if slope_name is None:
            return unknown(f"no slope {name}")
        measured = dict(self.by_name[slope_name].medians()).get(float(size))
        if measured is not None:
            return Figure(measured, self.origin(slope_name, Origin.MEASURED), slope_name, (slope_name,))
        predicted = max(0.0, self.fits[slope_name].at(size))
        held_out = self.fits[slope_name].held_out
        if held_out is None:
            return Figure(predicted, Origin.GUESS, slope_name, (slope_name,))
        return Figure(
            predicted, self.origin(slope_name, Origin.PREDICTED), slope_name, (slope_name,), held_out.error
        )

    def origin(self, name, otherwise):
        """Returns REPORTED for a reported slope, otherwise the given origin."""
        return Origin.REPORTED if self.by_name[name].origin == "reported" else otherwise
