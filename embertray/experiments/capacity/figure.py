"""Figures with where they come from: read off a slope, or reckoned from other figures."""

from dataclasses import dataclass

from .fit import fit
from .names import Origin

REPORTED_PREFIX = "reported-"  # prefix of slopes that stand in until theirs is measured


@dataclass(frozen=True)
class Figure:
    """`value` None: not known. `source`: the slope's name, the formula, or what is missing. `slopes`: names
    of all slopes it rests on. `error`: by how much the slope that predicts it missed its held-out size.
    """

    value: float | None
    origin: Origin
    source: str
    slopes: tuple = ()
    error: float | None = None

    @property
    def known(self):
        return self.value is not None


def unknown(reason):
    return Figure(None, Origin.UNKNOWN, reason)


def no_mechanism(reason):
    return Figure(None, Origin.NO_MECHANISM, reason)


def calculated(formula, value):
    """A figure that rests on no slope."""
    return Figure(float(value), Origin.CALCULATED, formula)


def derived(formula, function, *figures):
    """function(values) of known figures, reckoned by `formula`; not known if one of them is not."""
    slopes = tuple(dict.fromkeys(name for figure in figures for name in figure.slopes))
    missing = [figure.source for figure in figures if not figure.known]
    if missing:
        return Figure(None, Origin.UNKNOWN, "; ".join(dict.fromkeys(missing)), slopes)
    return Figure(float(function(*(figure.value for figure in figures))), Origin.CALCULATED, formula, slopes)


class Slopes:
    """All slopes at hand, fitted; figures read off them."""

    def __init__(self, by_name):
        self.by_name = by_name
        self.fits = {name: fit(slope.medians()) for name, slope in by_name.items()}
        self.requested = set()

    def find(self, name):
        """The name under which a slope is at hand: its own, or that of a reported stand-in; None."""
        self.requested |= {name, REPORTED_PREFIX + name}
        return next(
            (candidate for candidate in (name, REPORTED_PREFIX + name) if candidate in self.by_name), None
        )

    def at(self, name, size):
        """What the slope says at a size: measured there, or predicted by its law and never under zero."""
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
        return Origin.REPORTED if self.by_name[name].origin == "reported" else otherwise
