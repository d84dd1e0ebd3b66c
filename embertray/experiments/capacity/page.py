"""The table as Markdown, and docs/CAPACITY.md around it."""

from . import formulas
from .figure import REPORTED_PREFIX
from .names import Design, Origin, Quantity, Reading, Situation, Verdict
from .size_limits import size_limits
from .table import FAILURES, STEADY, vary_assumptions
from .text import format_error, format_number, format_quantity, format_source, format_verdict, markdown_table

PAGE_HEADER = """# Capacity

What each role costs at the size of a target, computed by `embertray capacity` from measured slopes
([how they were measured](measured/capacity.md), [their files](measured/capacity/README.md)). This page is
`embertray capacity --page`: nobody edits it, and a test fails if it differs from what the command prints.

How to read it:

- A budget "for control" can be read two ways: **{cluster}** (membership, state, limits,
  configuration), or **{all}** (streams of proxies and the list as well). Both are given.
- Two designs are told apart: **{gossip}** and **{replicas}** (control
  machines hold the configuration, each controller follows one of them). A row without a design belongs to
  both.
- Where a figure comes from: measured at the target's size; predicted by a slope whose largest size was held
  out and predicted; a guess, where none could be held out; reported, where it was taken over and not measured
  again; reckoned by the formula that stands there. *Not known* is said where there is neither. A predicted
  figure says by how much its slope missed the held-out size, and whether that could turn the verdict.
- Processor time is time of a processor on one machine that was busy with other work as well; bytes are
  payload, without the heads of TCP, UDP and IP. The worst 10 s stand beside the mean where they are known,
  and decide the verdict.
- Measured times are of loopback, without distance and disks; where a bound is stated for real links, it
  stands in a row beside them.
- Rows of failures are what comes on top of the peak. The time until a configuration is in force is asked of
  whoever starts or returns as well: the strict reading.
"""

VIRTUAL_PREFIX = "virtual-"  # prefix of slopes measured under virtual time
CHARTS = (
    ("processor.png", "processor time of a controller against its size"),
    ("bytes.png", "bytes a second of a controller against its size"),
    ("time.png", "time to all against members and subscribers"),
)


def situation_rows(table, situation):
    """Yields the cells of each row of a situation."""
    for row in table.of(situation):
        value = format_quantity(row.figure.value, row.unit)
        if row.worst is not None and row.worst.known:
            value += f"; {format_quantity(row.worst.value, row.unit)}"
        design = "" if len(row.designs) == 2 else f" ({design_name(row.designs[0])})"
        yield (
            f"{row.role}: {row.part}{design}",
            str(row.quantity),
            value,
            "-" if row.budget is None else format_quantity(row.budget, row.unit),
            format_verdict(row.judgement),
            row.mechanism,
            format_source(row.figure),
        )


def design_name(design):
    """Returns the short name of a design."""
    return "gossip" if design is Design.GOSSIP else "replicas"


def situations(table):
    """Returns a table for each situation that has rows."""
    headings = ("role: part", "of", "mean; worst 10 s", "budget", "verdict", "mechanism", "from")
    parts = []
    for situation in Situation:
        if table.of(situation):
            parts.append(
                f"### {str(situation).capitalize()}\n\n"
                f"{markdown_table(headings, situation_rows(table, situation))}"
            )
    return "\n\n".join(parts)


def missing_mechanisms(table):
    """Returns a list of what a design has no mechanism for, so that there is no factor."""
    rows = [row for row in table.rows if row.judgement.verdict is Verdict.NO_MECHANISM]
    return "\n".join(
        f"- {str(row.designs[0])}: {row.role}: {row.part}, {row.quantity}, {row.situation}: "
        f"{row.figure.source}"
        for row in rows
    )


def largest(table):
    """Returns the largest shortfalls by design and reading, without and with failures."""
    parts = []
    for design in Design:
        for reading in Reading:
            steady = ranked_rows(table.largest(reading, design, STEADY))
            failures = ranked_rows(table.largest(reading, design, FAILURES))
            parts.append(
                f"### {str(design).capitalize()}; {reading}\n\nWhile nothing fails:\n\n{steady}\n\n"
                f"In failures, starts and restarts:\n\n{failures}"
            )
    return "\n\n".join(parts)


def ranked_rows(rows):
    """Returns a numbered list of rows."""
    lines = [
        f"{place}. {row.role}: {row.part}, {row.quantity}, {row.situation}: {format_verdict(row.judgement)} "
        f"({format_quantity(judged_value(row), row.unit)} of {format_quantity(row.budget, row.unit)}; "
        f"{row.figure.origin}; {row.mechanism})"
        for place, row in enumerate(rows, 1)
    ]
    return "\n".join(lines) or "None that is known."


def judged_value(row):
    """Returns the worse of the mean and the worst 10 s of a row: the larger, or the smaller for a minimum."""
    worst = row.worst.value if row.worst is not None and row.worst.known else row.figure.value
    return min(row.figure.value, worst) if row.quantity is Quantity.SEEN else max(row.figure.value, worst)


def totals(table):
    """Returns the table of totals."""
    headings = ("design", "for control", "of", "known parts", "not known", "budget", "verdict")
    return markdown_table(
        headings,
        (
            (
                str(total.design),
                str(total.reading),
                total.quantity,
                format_quantity(total.known, total.unit),
                ", ".join(total.missing) or "-",
                format_quantity(total.budget, total.unit),
                format_verdict(total.judgement),
            )
            for total in table.totals
        ),
    )


def tables(table):
    """Returns what the command prints: factors, totals, rows."""
    return (
        f"## The largest factors by which the target is missed\n\n{largest(table)}\n\n"
        f"No mechanism at all, so that no factor can be told:\n\n{missing_mechanisms(table)}\n\n"
        f"## A controller at the peak, all parts\n\n{totals(table)}\n\n"
        f"## By situation\n\n{situations(table)}\n"
    )


def target_text(target):
    """Returns the description of the target."""
    return (
        f"Target `{target.name}`: {target.controllers} controllers before {target.backends:,} backends in "
        f"{target.services} services; {target.requests:,.0f} requests a second; {target.routes:,} routes, "
        f"{target.tenants:,} tenants; {format_quantity(target.added_at_p99, 's')} added at p99; "
        f"{target.regions} "
        f"regions, {target.zones} zones; {target.changes_a_day:,.0f} configuration changes a day, in force "
        f"within {format_quantity(target.in_force_within, 's')}; "
        f"of a controller for control {target.cores:.2%} of "
        f"a core, {format_quantity(target.memory, 'bytes')}, "
        f"{format_quantity(target.bytes_a_second, 'bytes/s')}; "
        f"{target.control_machines} control machines; "
        f"{format_number(target.machines_a_day)} machines fail and "
        f"{format_number(target.restarts_a_day)} processes are restarted or replaced a day, "
        f"{format_number(target.racks_a_week)} rack or switch a week, "
        f"{format_number(target.zones_a_year)} zones a year, "
        "regions apart for "
        f"{format_quantity(target.regions_apart, 's')}. By the assumptions: {target.proxies:,.0f} proxies, "
        f"{target.proxies_per_controller} a controller; requests a second of each: "
        f"{format_number(target.requests_per_proxy)}.\n"
    )


def assumptions(target):
    """Returns the table of assumptions."""
    return markdown_table(
        ("assumption", "value", "varied to", "reason"),
        (
            (
                assumption.name,
                format_number(assumption.value),
                ", ".join(format_number(value) for value in assumption.vary) or "-",
                assumption.reason,
            )
            for assumption in target.assumptions
        ),
    )


def variations(table, by_name):
    """Returns a table of the totals and rows whose verdict changes when an assumption is varied."""
    row_by_key = {row_key(row): row for row in table.rows}
    lines = []
    for assumption, value, varied_table in vary_assumptions(table.target, by_name):
        for before, after in zip(table.totals, varied_table.totals, strict=True):
            if format_verdict(before.judgement) != format_verdict(after.judgement):
                name = f"{design_name(after.design)}, {after.reading}: total {after.quantity}"
                lines.append(
                    (
                        assumption.name,
                        format_number(value),
                        name,
                        format_verdict(before.judgement),
                        format_verdict(after.judgement),
                    )
                )
        for row in varied_table.rows:
            before = row_by_key.get(row_key(row))
            if before and before.judgement.verdict is not row.judgement.verdict:
                name = f"{row.role}: {row.part}, {row.quantity}, {row.situation}"
                lines.append(
                    (
                        assumption.name,
                        format_number(value),
                        name,
                        format_verdict(before.judgement),
                        format_verdict(row.judgement),
                    )
                )
    return markdown_table(("assumption", "at", "total or row", "verdict", "becomes"), lines)


def row_key(row):
    """Returns what identifies a row in the tables of varied assumptions."""
    return row.role, row.part, row.situation, row.quantity, row.designs, row.mechanism


def slope_lines(table):
    """Yields the cells of each slope, those that rows use first."""
    requested = table.slopes.requested
    for name, slope in sorted(
        table.slopes.by_name.items(), key=lambda item: (item[0] not in requested, item[0])
    ):
        fit = table.slopes.fits[name]
        sizes = [size for size, _ in slope.medians()]
        held = fit.held_out
        yield (
            f"`{name}`" + ("" if name in requested else " (no row)"),
            slope.unit,
            f"{slope.n}: {', '.join(format_number(size) for size in sizes)}",
            f"{fit.law.base:.3g} + {fit.law.factor:.3g} {fit.law.growth}",
            " / ".join(f"{value:.1%}" for value in fit.residuals.values()),
            f"{format_number(held.predicted)} for {format_number(held.measured)}: {format_error(held.error)}"
            if held
            else "**a guess**",
            f"`{slope.command}`, {slope.commit}" + (", reported" if slope.origin == "reported" else ""),
        )


def slope_table(table):
    """Returns the table of slopes with their fits."""
    headings = (
        "slope",
        "unit",
        "sizes",
        "law",
        "residual n / n log n / n^2",
        "held-out size: predicted for measured: error",
        "command, commit",
    )
    return markdown_table(headings, slope_lines(table))


def limits_text(target):
    """Returns the table of the cost of sharing quotas in both designs, calculated from encoded messages."""
    rows = []
    for limits in dict.fromkeys((1, int(target.assumed("limits")), target.services)):
        shape = (target.controllers, target.proxies_per_controller, limits)
        all_to_all, through_replicas = (
            formulas.limits_all_to_all(*shape),
            formulas.limits_through_replicas(*shape),
        )
        rows.append(
            (
                format_number(limits),
                rate_in_budgets(all_to_all.controller_out, target.bytes_a_second),
                rate_in_budgets(through_replicas.controller_out, target.bytes_a_second),
                format_quantity(through_replicas.controller_in, "bytes/s"),
                format_quantity(through_replicas.replica_in, "bytes/s"),
                format_quantity(through_replicas.state, "bytes"),
            )
        )
    headings = (
        "limits",
        "each to each: a controller sends, and receives",
        "through replicas: a controller sends",
        "receives",
        "the replica that keeps receives",
        "and holds",
    )
    return markdown_table(headings, rows)


def rate_in_budgets(rate, budget):
    """Returns a rate and its ratio to the budget."""
    return f"{format_quantity(rate, 'bytes/s')} ({rate / budget:,.1f} budgets)"


def size_limit_table(table):
    """Returns a table of the sizes at which one part alone reaches its budget."""
    return markdown_table(
        ("part", "budget", "reached at", "the target has", "by"),
        (
            (
                limit.what,
                format_quantity(limit.budget, limit.unit),
                f"{limit.size:,} {limit.size_unit}",
                f"{limit.target_size:,}",
                limit.source,
            )
            for limit in size_limits(table.target, table.slopes)
        ),
    )


def loopback_comparison(table):
    """Returns a table of slopes measured on loopback and under virtual time, at sizes that both have."""
    rows = []
    for name, slope in table.slopes.by_name.items():
        virtual = table.slopes.by_name.get(VIRTUAL_PREFIX + name)
        if virtual is None:
            continue
        virtual_by_size = dict(virtual.medians())
        for size, value in slope.medians():
            if size in virtual_by_size and virtual_by_size[size]:
                ratio = f"{value / virtual_by_size[size]:.2f}"
                rows.append(
                    (
                        f"`{name}`",
                        format_number(size),
                        format_number(value),
                        format_number(virtual_by_size[size]),
                        ratio,
                    )
                )
    return markdown_table(("slope", "size", "on loopback", "under virtual time", "ratio"), rows)


def missing_slopes(table):
    """Returns a list of the slopes that rows need and that do not exist."""
    missing = sorted(
        {
            row.figure.source
            for row in table.rows
            if row.figure.origin is Origin.UNKNOWN
            and row.judgement.verdict in (Verdict.UNKNOWN, Verdict.NO_BUDGET)
        }
    )
    return "\n".join(f"- {name}" for name in missing) or "Nothing that a row asks for."


def page(table, by_name, charts=()):
    """Returns the text of docs/CAPACITY.md; `charts` are the names of the chart files that exist."""
    header_names = {
        "cluster": Reading.CLUSTER,
        "all": Reading.ALL,
        "gossip": Design.GOSSIP,
        "replicas": Design.REPLICAS,
    }
    reported = [name for name in by_name if name.startswith(REPORTED_PREFIX)]
    chart_links = "\n\n".join(
        f"![{caption}](measured/capacity/{name})" for name, caption in CHARTS if name in charts
    )
    return "\n".join(
        (
            PAGE_HEADER.format(**header_names),
            "## Target\n",
            target_text(table.target),
            "What it does not name:\n",
            assumptions(table.target),
            "",
            tables(table),
            "## Assumptions varied\n",
            "Totals that change, and rows whose verdict becomes another, when one assumption is set to "
            "another value and all else is as above.\n",
            variations(table, by_name),
            "",
            "## Sizes at which a budget is reached\n",
            "The largest size at which one part, alone, is within its budget, by its law or formula.\n",
            size_limit_table(table),
            "",
            "## Shares of limits, each to each or through the replicas\n",
            "Reckoned from true messages at the target's size, one ask a second. Through the replicas an "
            "ask names only its sender's own proxies, and one replica keeps the shares.\n",
            limits_text(table.target),
            "",
            "## Loopback and virtual time\n",
            "The same cores on true links and under virtual time, where both ran.\n",
            loopback_comparison(table),
            "",
            "## Not known\n",
            missing_slopes(table),
            "",
            "## Slopes\n",
            "Each is fitted without its largest size, which is then predicted. Residuals are relative, root "
            f"mean square. {len(reported)} are reported, not measured again.\n",
            slope_table(table),
            "",
            *([chart_links, ""] if chart_links else []),
        )
    )
