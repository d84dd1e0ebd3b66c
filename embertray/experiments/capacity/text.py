"""Formats figures as text, and tables as Markdown."""

from math import isinf

from .names import Origin, Verdict

SECONDS = (("s", 1.0), ("ms", 1e-3), ("us", 1e-6))
BYTES = (("GB", 1e9), ("MB", 1e6), ("KB", 1e3))


def format_number(value):
    """Returns a number with three digits, with an exponent only if it is very small."""
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}" if abs(value) >= 1e-4 else f"{value:.1e}"


def format_quantity(value, unit):
    """Returns a value with its unit; 'not known' for None."""
    if value is None:
        return "not known"
    if unit == "s":
        name, unit_value = next((one for one in SECONDS if abs(value) >= one[1]), SECONDS[-1])
        return "0 s" if value == 0 else f"{format_number(value / unit_value)} {name}"
    if unit in ("bytes", "bytes/s"):
        name, unit_value = next((one for one in BYTES if abs(value) >= one[1]), ("B", 1.0))
        return f"{format_number(value / unit_value)} {name}{unit[5:]}"
    return f"{format_number(value)} {unit}"


def format_error(share):
    """Returns a relative error as a percentage, or words if it is infinite, relative to a value of 0."""
    return "more than can be told of 0" if isinf(share) else f"{share:.1%}"


def format_verdict(judgement):
    """Returns a verdict with its factor and uncertainty."""
    suffix = ", within the slope's error" if judgement.uncertain else ""
    if judgement.verdict is Verdict.SHORT:
        return f"**falls short by {format_factor(judgement.factor)}**{suffix}"
    return f"{judgement.verdict}{suffix}"


def format_factor(value):
    """Returns the text of the factor by which a budget is missed."""
    if value >= 100:
        return f"{value:,.0f}"
    return f"{value:.2f}" if value < 2 else f"{value:.2g}"


def format_source(figure):
    """Returns where a figure comes from: slope or formula, and how."""
    if figure.origin in (Origin.UNKNOWN, Origin.NO_MECHANISM):
        return figure.source
    if figure.origin is Origin.CALCULATED:
        return f"reckoned: {figure.source}"
    missed = (
        "" if figure.error is None else f", which missed its held-out size by {format_error(figure.error)}"
    )
    return f"`{figure.source}`, {figure.origin}{missed}"


def markdown_table(headings, rows):
    """Returns a Markdown table."""
    lines = ["| " + " | ".join(headings) + " |", "|" + " --- |" * len(headings)]
    lines += ["| " + " | ".join(cells) + " |" for cells in rows]
    return "\n".join(lines)
