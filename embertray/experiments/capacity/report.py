"""The table as plain data, for --json."""

from math import isinf

from .names import Design, Reading
from .table import FAILURES, STEADY


def judgement_data(one):
    infinite = one.factor is not None and isinf(one.factor)
    return {
        "verdict": str(one.verdict),
        "factor": None if infinite else one.factor,
        "within_error": one.uncertain,
    }


def row(one):
    return {
        "role": str(one.role),
        "part": str(one.part),
        "situation": str(one.situation),
        "quantity": str(one.quantity),
        "unit": one.unit,
        "value": one.figure.value,
        "worst_10s": one.worst.value if one.worst is not None else None,
        "budget": one.budget,
        **judgement_data(one.judgement),
        "origin": str(one.figure.origin),
        "source": one.figure.source,
        "slopes": list(one.figure.slopes),
        "mechanism": one.mechanism,
        "readings": [str(reading) for reading in one.readings],
        "designs": [str(design) for design in one.designs],
    }


def total(one):
    return {
        "design": str(one.design),
        "reading": str(one.reading),
        "quantity": one.quantity,
        "unit": one.unit,
        "known": one.known,
        "missing": list(one.missing),
        "budget": one.budget,
        **judgement_data(one.judgement),
    }


def slope(name, found):
    fit, one = found.slopes.fits[name], found.slopes.by_name[name]
    held = fit.held_out
    return {
        "name": name,
        "unit": one.unit,
        "law": fit.law.growth,
        "base": fit.law.base,
        "factor": fit.law.factor,
        "residuals": fit.residuals,
        "guess": fit.is_guess,
        "held_out": held
        and {
            "size": held.size,
            "measured": held.measured,
            "predicted": held.predicted,
            "error": None if isinf(held.error) else held.error,
        },
        "command": one.command,
        "commit": one.commit,
        "origin": one.origin,
    }


def largest(found, reading, design):
    return {
        name: [row(one) for one in found.largest(reading, design, situations)]
        for name, situations in (("nothing fails", STEADY), ("failures", FAILURES))
    }


def as_data(found):
    return {
        "target": found.target.name,
        "rows": [row(one) for one in found.rows],
        "totals": [total(one) for one in found.totals],
        "largest": {
            str(design): {str(reading): largest(found, reading, design) for reading in Reading}
            for design in Design
        },
        "slopes": [slope(name, found) for name in found.slopes.by_name],
    }
