"""The table as plain data, for --json."""

from math import isinf

from .names import Design, Reading
from .table import FAILURES, STEADY


def judgement_data(item):
    """Returns the fields of a judgement; an infinite factor becomes None."""
    infinite = item.factor is not None and isinf(item.factor)
    return {
        "verdict": str(item.verdict),
        "factor": None if infinite else item.factor,
        "within_error": item.uncertain,
    }


def row_data(item):
    """Returns a row as a dict."""
    return {
        "role": str(item.role),
        "part": str(item.part),
        "situation": str(item.situation),
        "quantity": str(item.quantity),
        "unit": item.unit,
        "value": item.figure.value,
        "worst_10s": item.worst.value if item.worst is not None else None,
        "budget": item.budget,
        **judgement_data(item.judgement),
        "origin": str(item.figure.origin),
        "source": item.figure.source,
        "slopes": list(item.figure.slopes),
        "mechanism": item.mechanism,
        "readings": [str(reading) for reading in item.readings],
        "designs": [str(design) for design in item.designs],
    }


def total_data(item):
    """Returns a total as a dict."""
    return {
        "design": str(item.design),
        "reading": str(item.reading),
        "quantity": item.quantity,
        "unit": item.unit,
        "known": item.known,
        "missing": list(item.missing),
        "budget": item.budget,
        **judgement_data(item.judgement),
    }


def slope_data(name, table):
    """Returns a slope and its fit as a dict; an infinite error becomes None."""
    fit, slope = table.slopes.fits[name], table.slopes.by_name[name]
    held = fit.held_out
    return {
        "name": name,
        "unit": slope.unit,
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
        "command": slope.command,
        "commit": slope.commit,
        "origin": slope.origin,
    }


def largest_data(table, reading, design):
    """Returns the largest factors of a reading and design, without and with failures."""
    return {
        name: [row_data(row) for row in table.largest(reading, design, situations)]
        for name, situations in (("nothing fails", STEADY), ("failures", FAILURES))
    }


def as_data(table):
    """Returns the table as a dict."""
    return {
        "target": table.target.name,
        "rows": [row_data(item) for item in table.rows],
        "totals": [total_data(item) for item in table.totals],
        "largest": {
            str(design): {str(reading): largest_data(table, reading, design) for reading in Reading}
            for design in Design
        },
        "slopes": [slope_data(name, table) for name in table.slopes.by_name],
    }
