"""Figures with where they come from: read off a slope, or reckoned from other figures."""

from dataclasses import dataclass

from .fit import fit
from .names import Origin

REPORTED = "reported-"  # prefix of slopes that stand in until theirs is measured


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


def unknown(why):
    return Figure(None, Origin.UNKNOWN, why)


def no_mechanism(why):
    return Figure(None, Origin.NO_MECHANISM, why)


def reckoned(formula, value):
    """A figure that rests on no slope."""
    return Figure(float(value), Origin.RECKONED, formula)


def derived(formula, function, *figures):
    """function(values) of known figures, reckoned by `formula`; not known if one of them is not."""
    slopes = tuple(dict.fromkeys(name for figure in figures for name in figure.slopes))
    missing = [figure.source for figure in figures if not figure.known]
    if missing:
        return Figure(None, Origin.UNKNOWN, "; ".join(dict.fromkeys(missing)), slopes)
    return Figure(float(function(*(figure.value for figure in figures))), Origin.RECKONED, formula, slopes)


class Slopes:
    """All slopes at hand, fitted; figures read off them."""

    def __init__(self, by_name):
        self.by_name = by_name
        self.fits = {name: fit(slope.medians()) for name, slope in by_name.items()}
        self.asked = set()

    def find(self, name):
        """The name under which a slope is at hand: its own, or that of a reported stand-in; None."""
        self.asked |= {name, REPORTED + name}
        return next((one for one in (name, REPORTED + name) if one in self.by_name), None)

    def at(self, name, size):
        """What the slope says at a size: measured there, or predicted by its law and never under zero."""
        found = self.find(name)
        if found is None:
            return unknown(f"no slope {name}")
        measured = dict(self.by_name[found].medians()).get(float(size))
        if measured is not None:
            return Figure(measured, self.origin(found, Origin.MEASURED), found, (found,))
        predicted = max(0.0, self.fits[found].at(size))
        held_out = self.fits[found].held_out
        if held_out is None:
            return Figure(predicted, Origin.GUESS, found, (found,))
        return Figure(predicted, self.origin(found, Origin.PREDICTED), found, (found,), held_out.error)

    def origin(self, name, otherwise):
        return Origin.REPORTED if self.by_name[name].origin == "reported" else otherwise
