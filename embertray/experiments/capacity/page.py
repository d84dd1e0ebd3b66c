"""The table as Markdown, and docs/CAPACITY.md round it."""

from . import formulas
from .figure import REPORTED_PREFIX
from .names import Design, Origin, Quantity, Reading, Situation, Verdict
from .size_limits import size_limits
from .table import FAILURES, STEADY, vary_assumptions
from .text import digits, percent, quantity, source, table, verdict

HEAD = """# Capacity

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

VIRTUAL = "virtual-"  # prefix of slopes taken under virtual time
CHARTS = (
    ("processor.png", "processor time of a controller against its size"),
    ("bytes.png", "bytes a second of a controller against its size"),
    ("time.png", "time to all against members and subscribers"),
)


def rows_of(found, situation):
    for row in found.of(situation):
        value = quantity(row.figure.value, row.unit)
        if row.worst is not None and row.worst.known:
            value += f"; {quantity(row.worst.value, row.unit)}"
        design = "" if len(row.designs) == 2 else f" ({design_word(row.designs[0])})"
        yield (
            f"{row.role}: {row.part}{design}",
            str(row.quantity),
            value,
            "-" if row.budget is None else quantity(row.budget, row.unit),
            verdict(row.judgement),
            row.mechanism,
            source(row.figure),
        )


def design_word(design):
    return "gossip" if design is Design.GOSSIP else "replicas"


def situations(found):
    heads = ("role: part", "of", "mean; worst 10 s", "budget", "verdict", "mechanism", "from")
    parts = []
    for situation in Situation:
        if found.of(situation):
            parts.append(f"### {str(situation).capitalize()}\n\n{table(heads, rows_of(found, situation))}")
    return "\n\n".join(parts)


def without_mechanism(found):
    """What a design has nothing for at all: no factor can be told."""
    rows = [row for row in found.rows if row.judgement.verdict is Verdict.NO_MECHANISM]
    return "\n".join(
        f"- {str(row.designs[0])}: {row.role}: {row.part}, {row.quantity}, {row.situation}: "
        f"{row.figure.source}"
        for row in rows
    )


def largest(found):
    parts = []
    for design in Design:
        for reading in Reading:
            steady = ranked(found.largest(reading, design, STEADY))
            failures = ranked(found.largest(reading, design, FAILURES))
            parts.append(
                f"### {str(design).capitalize()}; {reading}\n\nWhile nothing fails:\n\n{steady}\n\n"
                f"In failures, starts and restarts:\n\n{failures}"
            )
    return "\n\n".join(parts)


def ranked(rows):
    lines = [
        f"{place}. {row.role}: {row.part}, {row.quantity}, {row.situation}: {verdict(row.judgement)} "
        f"({quantity(max_of(row), row.unit)} of {quantity(row.budget, row.unit)}; "
        f"{row.figure.origin}; {row.mechanism})"
        for place, row in enumerate(rows, 1)
    ]
    return "\n".join(lines) or "None that is known."


def max_of(row):
    worst = row.worst.value if row.worst is not None and row.worst.known else row.figure.value
    return min(row.figure.value, worst) if row.quantity is Quantity.SEEN else max(row.figure.value, worst)


def totals(found):
    heads = ("design", "for control", "of", "known parts", "not known", "budget", "verdict")
    return table(
        heads,
        (
            (
                str(total.design),
                str(total.reading),
                total.quantity,
                quantity(total.known, total.unit),
                ", ".join(total.missing) or "-",
                quantity(total.budget, total.unit),
                verdict(total.judgement),
            )
            for total in found.totals
        ),
    )


def tables(found):
    """What the command prints: factors, totals, rows."""
    return (
        f"## The largest factors by which the target is missed\n\n{largest(found)}\n\n"
        f"No mechanism at all, so that no factor can be told:\n\n{without_mechanism(found)}\n\n"
        f"## A controller at the peak, all parts\n\n{totals(found)}\n\n"
        f"## By situation\n\n{situations(found)}\n"
    )


def target_text(target):
    return (
        f"Target `{target.name}`: {target.controllers} controllers before {target.backends:,} backends in "
        f"{target.services} services; {target.requests:,.0f} requests a second; {target.routes:,} routes, "
        f"{target.tenants:,} tenants; {quantity(target.added_at_p99, 's')} added at p99; {target.regions} "
        f"regions, {target.zones} zones; {target.changes_a_day:,.0f} configuration changes a day, in force "
        f"within {quantity(target.in_force_within, 's')}; of a controller for control {target.cores:.2%} of "
        f"a core, {quantity(target.memory, 'bytes')}, {quantity(target.bytes_a_second, 'bytes/s')}; "
        f"{target.control_machines} control machines; {digits(target.machines_a_day)} machines fail and "
        f"{digits(target.restarts_a_day)} processes are restarted or replaced a day, "
        f"{digits(target.racks_a_week)} rack or switch a week, {digits(target.zones_a_year)} zones a year, "
        "regions apart for "
        f"{quantity(target.regions_apart, 's')}. By the assumptions: {target.proxies:,.0f} proxies, "
        f"{target.proxies_per_controller} a controller; requests a second of each: "
        f"{digits(target.requests_per_proxy)}.\n"
    )


def assumptions(target):
    return table(
        ("assumption", "value", "varied to", "reason"),
        (
            (one.name, digits(one.value), ", ".join(digits(value) for value in one.vary) or "-", one.reason)
            for one in target.assumptions
        ),
    )


def variations(found, by_name):
    """How the totals change when an assumption is varied, and which rows get another verdict."""
    plain = {key_of(row): row for row in found.rows}
    lines = []
    for one, value, other in vary_assumptions(found.target, by_name):
        for before, after in zip(found.totals, other.totals, strict=True):
            if verdict(before.judgement) != verdict(after.judgement):
                name = f"{design_word(after.design)}, {after.reading}: total {after.quantity}"
                lines.append(
                    (one.name, digits(value), name, verdict(before.judgement), verdict(after.judgement))
                )
        for row in other.rows:
            before = plain.get(key_of(row))
            if before and before.judgement.verdict is not row.judgement.verdict:
                name = f"{row.role}: {row.part}, {row.quantity}, {row.situation}"
                lines.append(
                    (one.name, digits(value), name, verdict(before.judgement), verdict(row.judgement))
                )
    return table(("assumption", "at", "total or row", "verdict", "becomes"), lines)


def key_of(row):
    return row.role, row.part, row.situation, row.quantity, row.designs, row.mechanism


def slope_lines(found):
    requested = found.slopes.requested
    for name, slope in sorted(
        found.slopes.by_name.items(), key=lambda one: (one[0] not in requested, one[0])
    ):
        fit = found.slopes.fits[name]
        sizes = [size for size, _ in slope.medians()]
        held = fit.held_out
        yield (
            f"`{name}`" + ("" if name in requested else " (no row)"),
            slope.unit,
            f"{slope.n}: {', '.join(digits(size) for size in sizes)}",
            f"{fit.law.base:.3g} + {fit.law.factor:.3g} {fit.law.growth}",
            " / ".join(f"{value:.1%}" for value in fit.residuals.values()),
            f"{digits(held.predicted)} for {digits(held.measured)}: {percent(held.error)}"
            if held
            else "**a guess**",
            f"`{slope.command}`, {slope.commit}" + (", reported" if slope.origin == "reported" else ""),
        )


def slope_table(found):
    heads = (
        "slope",
        "unit",
        "sizes",
        "law",
        "residual n / n log n / n^2",
        "held-out size: predicted for measured: error",
        "command, commit",
    )
    return table(heads, slope_lines(found))


def limits_text(target):
    """What shares of limits cost in both designs, by true messages of the size that they would have."""
    rows = []
    for limits in dict.fromkeys((1, int(target.assumed("limits")), target.services)):
        shape = (target.controllers, target.proxies_per_controller, limits)
        each, through = formulas.limits_all_to_all(*shape), formulas.limits_through_replicas(*shape)
        rows.append(
            (
                digits(limits),
                against(each.controller_out, target.bytes_a_second),
                against(through.controller_out, target.bytes_a_second),
                quantity(through.controller_in, "bytes/s"),
                quantity(through.replica_in, "bytes/s"),
                quantity(through.state, "bytes"),
            )
        )
    heads = (
        "limits",
        "each to each: a controller sends, and receives",
        "through replicas: a controller sends",
        "receives",
        "the replica that keeps receives",
        "and holds",
    )
    return table(heads, rows)


def against(rate, budget):
    return f"{quantity(rate, 'bytes/s')} ({rate / budget:,.1f} budgets)"


def reach_table(found):
    """How large a fleet one part alone could be within its budget."""
    return table(
        ("part", "budget", "reached at", "the target has", "by"),
        (
            (
                one.what,
                quantity(one.budget, one.unit),
                f"{one.size:,} {one.size_unit}",
                f"{one.target_size:,}",
                one.source,
            )
            for one in size_limits(found.target, found.slopes)
        ),
    )


def agreement(found):
    """What links carried beside what the same cores sent under virtual time, at sizes where both ran."""
    rows = []
    for name, slope in found.slopes.by_name.items():
        virtual = found.slopes.by_name.get(VIRTUAL + name)
        if virtual is None:
            continue
        counted = dict(virtual.medians())
        for size, value in slope.medians():
            if size in counted and counted[size]:
                ratio = f"{value / counted[size]:.2f}"
                rows.append((f"`{name}`", digits(size), digits(value), digits(counted[size]), ratio))
    return table(("slope", "size", "on loopback", "under virtual time", "ratio"), rows)


def gaps(found):
    """Slopes that rows ask for and that are not there."""
    missing = sorted(
        {
            row.figure.source
            for row in found.rows
            if row.figure.origin is Origin.UNKNOWN
            and row.judgement.verdict in (Verdict.UNKNOWN, Verdict.NO_BUDGET)
        }
    )
    return "\n".join(f"- {one}" for one in missing) or "Nothing that a row asks for."


def page(found, by_name, charts=()):
    """docs/CAPACITY.md. `charts`: names of the files that are there."""
    words = {
        "cluster": Reading.CLUSTER,
        "all": Reading.ALL,
        "gossip": Design.GOSSIP,
        "replicas": Design.REPLICAS,
    }
    reported = [name for name in by_name if name.startswith(REPORTED_PREFIX)]
    pictures = "\n\n".join(
        f"![{caption}](measured/capacity/{name})" for name, caption in CHARTS if name in charts
    )
    return "\n".join(
        (
            HEAD.format(**words),
            "## Target\n",
            target_text(found.target),
            "What it does not name:\n",
            assumptions(found.target),
            "",
            tables(found),
            "## Assumptions varied\n",
            "Totals that change, and rows whose verdict becomes another, when one assumption is set to "
            "another value and all else is as above.\n",
            variations(found, by_name),
            "",
            "## Sizes at which a budget is reached\n",
            "The largest size at which one part, alone, is within its budget, by its law or formula.\n",
            reach_table(found),
            "",
            "## Shares of limits, each to each or through the replicas\n",
            "Reckoned from true messages at the target's size, one ask a second. Through the replicas an "
            "ask names only its sender's own proxies, and one replica keeps the shares.\n",
            limits_text(found.target),
            "",
            "## Loopback and virtual time\n",
            "The same cores on true links and under virtual time, where both ran.\n",
            agreement(found),
            "",
            "## Not known\n",
            gaps(found),
            "",
            "## Slopes\n",
            "Each is fitted without its largest size, which is then predicted. Residuals are relative, root "
            f"mean square. {len(reported)} are reported, not measured again.\n",
            slope_table(found),
            "",
            *([pictures, ""] if pictures else []),
        )
    )
