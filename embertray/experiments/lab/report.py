"""A page of results: broken rules first, then errors, then tables by level and arm, worst seeds, and charts.

Differences are paired by seed (arms meet the same requests), their intervals by bootstrap. A cell in which a
run died shows no mean: a mean over the survivors is not the mean.
"""

from collections import defaultdict
from dataclasses import replace

import numpy as np
from hdrh.histogram import HdrHistogram

DRAWS, SURE = 2000, 0.95
PANELS = 6  # cells in the chart by second
TAIL = 10  # x the median: a worst spread so far out makes its mean meaningless


def interval(values, rng):
    """(low, high) of the mean, by bootstrap."""
    values = np.asarray(values, float)
    if len(values) < 2:
        return float(values[0]), float(values[0])
    means = values[rng.integers(0, len(values), (DRAWS, len(values)))].mean(axis=1)
    return tuple(np.quantile(means, [(1 - SURE) / 2, (1 + SURE) / 2]))


def cells(rows):
    found = defaultdict(lambda: defaultdict(list))
    for row in rows:
        found[tuple(sorted(row["levels"].items()))][row["arm"]].append(row)
    return found


def ordered(found, factors):
    """Cells in the order of the experiment's levels."""
    place = {name: {level: n for n, level in enumerate(levels)} for name, levels in factors}
    return sorted(found.items(), key=lambda item: [place[name][dict(item[0])[name]] for name, _ in factors])


def page(experiment, results, charts=()):
    """The report in Markdown."""
    rows, rng = list(results.rows()), np.random.default_rng(1)
    _, commit, began = results.experiment_header()
    broken = [row for row in rows if row["kept"] == 0 and row["arm"] == experiment.arms[0][0]]
    dead = [row for row in rows if row["error"]]
    wanted = sum(1 for _ in experiment.runs())
    lines = []
    if broken:
        names = sorted({rule for row in broken for rule in row["broken"]})
        lines.append(
            f"**{len(broken)} of {len(rows)} runs of arm {experiment.arms[0][0]} BREAK A RULE "
            f"({', '.join(names)}): "
            f"{', '.join(row['key'] for row in broken[:8])}**"
        )
    else:
        lines.append(f"No rule is broken in arm {experiment.arms[0][0]}.")
    if dead:
        lines.append(
            f"\n**{len(dead)} runs died or hung:** "
            + "; ".join(f"{r['key']}: {r['error']}" for r in dead[:8])
        )
    if len(rows) < wanted:
        lines.append(f"\n**{wanted - len(rows)} of {wanted} runs are missing.**")
    lines += [
        f"\n# {experiment.name}",
        "",
        experiment.about,
        "",
        f"Commit {commit or 'unknown'}, begun {began}; "
        f"{len(rows)} runs, seeds {experiment.seeds[0]} to {experiment.seeds[-1]}. Simulated "
        "fleets, virtual time.",
        "",
    ]
    lines += [f"![{chart}]({chart})" for chart in charts]
    arms, first = [name for name, *_ in experiment.arms], experiment.arms[0][0]
    names = [name for name, _ in experiment.factors]
    lines += [
        "",
        "| "
        + " | ".join(
            [
                *names,
                *(f"{arm}" for arm in arms),
                *(f"{a} - {first}" for a in arms[1:]),
                "rules broken",
                "spread p50 / worst ms",
            ]
        )
        + " |",
    ]
    lines.append("| --- " * (len(names) + 2 * len(arms) + 1) + "|")
    worst = []
    for levels, by_arm in ordered(cells(rows), experiment.factors):
        row = [dict(levels)[name] for name in names]
        good = {arm: {r["seed"]: r["credit"] for r in by_arm[arm] if not r["error"]} for arm in arms}
        for arm in arms:
            lost = sum(1 for r in by_arm[arm] if r["error"])
            values = list(good[arm].values())
            if lost or not values:
                row.append(f"{lost} of {len(by_arm[arm])} died" if lost else "-")
            else:
                low, high = interval(values, rng)
                row.append(f"{np.mean(values):.3f} ({low:.3f} to {high:.3f})")
        for arm in arms[1:]:
            both = [good[arm][s] - good[first][s] for s in good[arm] if s in good[first]]
            if len(both) < len(by_arm[first]) or not both:
                row.append("-")
            else:
                low, high = interval(both, rng)
                row.append(f"{np.mean(both):+.3f} ({low:+.3f} to {high:+.3f})")
        row.append(" / ".join(str(sum(1 for r in by_arm[arm] if r["kept"] == 0)) for arm in arms))
        spreads = [r for r in by_arm[first] if r["p50"] is not None]
        if spreads:
            middle, most = np.median([r["p50"] for r in spreads]), max(r["worst"] for r in spreads)
            row.append(
                f"{middle:.0f} / {most:.0f}" + (" (heavy tail: no mean)" if most > TAIL * middle else "")
            )
        else:
            row.append("-")
        lines.append("| " + " | ".join(row) + " |")
        worst += [(r["credit"], r["key"]) for r in by_arm[first] if not r["error"]]
    lines += [
        "",
        f"Worst of {first}: " + "; ".join(f"{key} {credit:.3f}" for credit, key in sorted(worst)[:5]),
        "",
        "What done and late reqs took (merged histograms):",
        times(experiment, results),
        "",
    ]
    return "\n".join(lines)


def chart(experiment, results, path):
    """Credit by the first factor whose levels are numbers, a line an arm, with intervals; False if there is
    none.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    numeric = [
        name for name, levels in experiment.factors if all(number(level) is not None for level in levels)
    ]
    if not numeric:
        return False
    rows, rng, name = [r for r in results.rows() if not r["error"]], np.random.default_rng(1), numeric[0]
    figure, axis = pyplot.subplots(figsize=(7, 4))
    for arm, *_ in experiment.arms:
        by = defaultdict(list)
        for row in rows:
            if row["arm"] == arm:
                by[number(row["levels"][name])].append(row["credit"])
        at = sorted(by)
        if at:
            middles = [np.mean(by[x]) for x in at]
            bands = [interval(by[x], rng) for x in at]
            axis.plot(at, middles, marker="o", label=arm)
            axis.fill_between(at, [b[0] for b in bands], [b[1] for b in bands], alpha=0.15)
    axis.set(xlabel=name, ylabel="credit", title=experiment.name, ylim=(0, 1.02))
    axis.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
    return True


def merged(rows):
    """One histogram of all the rows' requests, or None. Counts add up: nothing is averaged."""
    whole = None
    for row in rows:
        if row["took"]:
            one = HdrHistogram.decode(row["took"])
            if whole is None:
                whole = one
            else:
                whole.add(one)
    return whole


def times(experiment, results):
    """A table of what requests took, by arm and levels, from merged histograms."""
    names = [name for name, _ in experiment.factors]
    lines = [
        "",
        "| " + " | ".join([*names, "arm", "done", "p50 ms", "p90", "p99", "p99.9"]) + " |",
        "| --- " * (len(names) + 6) + "|",
    ]
    for levels, by_arm in ordered(cells(results.rows()), experiment.factors):
        for arm, *_ in experiment.arms:
            whole = merged(by_arm[arm])
            if whole is not None and whole.total_count:
                values = [f"{whole.get_value_at_percentile(p) / 1000:.0f}" for p in (50, 90, 99, 99.9)]
                lines.append(
                    "| "
                    + " | ".join([*(dict(levels)[n] for n in names), arm, str(whole.total_count), *values])
                    + " |"
                )
    return "\n".join(lines)


def lines_chart(experiment, results, path):
    """Credit by second, a line an arm (mean over seeds), one panel a cell, with the day's faults shaded;
    False if no row has one.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    found = ordered(cells(r for r in results.rows() if r["line"]), experiment.factors)[:PANELS]
    if not found:
        return False
    figure, axes = pyplot.subplots(len(found), 1, figsize=(8, 2.2 * len(found)), squeeze=False, sharex=True)
    first = next(iter(experiment.runs()))
    for axis, (levels, by_arm) in zip(axes[:, 0], found, strict=False):
        day = experiment.day_of(
            replace(first, levels=tuple((n, dict(levels)[n]) for n, _ in experiment.factors))
        )
        for fault in day.faults:
            axis.axvspan(fault.at / 1e9, (fault.at + fault.lasts) / 1e9, color="grey", alpha=0.15)
            axis.text(fault.at / 1e9, 0.02, fault.name, fontsize=6, rotation=90)
        for arm, *_ in experiment.arms:
            rows = [row["line"] for row in by_arm[arm]]
            if rows:
                span = max(map(len, rows))
                held = np.array(
                    [
                        [np.nan if n >= len(row) or row[n] is None else row[n] for n in range(span)]
                        for row in rows
                    ]
                )
                counts = np.maximum(1, (~np.isnan(held)).sum(axis=0))
                axis.plot(np.nansum(held, axis=0) / counts, label=arm, linewidth=1)
        axis.set(ylim=(0, 1.03), ylabel="credit", title=", ".join(f"{k}={v}" for k, v in levels))
    axes[0, 0].legend(fontsize=6, ncols=4)
    axes[-1, 0].set(xlabel="s")
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
    return True


def spread_chart(experiment, results, path):
    """The distribution of what requests took, a line an arm, all cells together; False if there is none."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axis = pyplot.subplots(figsize=(7, 4))
    drawn = False
    for arm, *_ in experiment.arms:
        whole = merged(r for r in results.rows() if r["arm"] == arm)
        if whole is not None and whole.total_count:
            parts = 100 - np.geomspace(100, 0.01, 200)
            axis.plot(
                [max(0.1, whole.get_value_at_percentile(p) / 1000) for p in parts], 100 - parts, label=arm
            )
            drawn = True
    axis.set(xscale="log", yscale="log", xlabel="ms", ylabel="% that took longer", title=experiment.name)
    axis.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
    return drawn


def number(text):
    try:
        return float(text)
    except ValueError:
        return None


def compare(one, two, rng=None):
    """Rows by arm and levels: mean difference of credit (two - one) over the runs in both, with its
    interval.
    """
    rng = rng or np.random.default_rng(1)
    first, second = ({r["key"]: r for r in results.rows()} for results in (one, two))
    found = defaultdict(list)
    for key in sorted(first.keys() & second.keys()):
        a, b = first[key], second[key]
        if not a["error"] and not b["error"]:
            found[a["arm"], tuple(sorted(a["levels"].items()))].append(b["credit"] - a["credit"])
    lines = ["| arm | levels | runs | difference of credit |", "| --- | --- | --- | --- |"]
    for (arm, levels), values in found.items():
        low, high = interval(values, rng)
        said = ", ".join(f"{k}={v}" for k, v in levels) or "-"
        lines.append(
            f"| {arm} | {said} | {len(values)} | {np.mean(values):+.4f} ({low:+.4f} to {high:+.4f}) |"
        )
    only = len(first.keys() ^ second.keys())
    errors = sum(1 for key in first.keys() & second.keys() if first[key]["error"] or second[key]["error"])
    lines.append(f"\n{only} runs are in one file only, {errors} died in one or both.")
    return "\n".join(lines)
