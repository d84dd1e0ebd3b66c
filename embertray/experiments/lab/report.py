"""The report of an experiment: broken rules, errors, tables by level and arm, worst seeds, and charts.

A cell is one combination of factor levels. Differences between arms are paired by seed, because all arms
meet the same requests; confidence intervals are by bootstrap. A cell in which a run died shows no mean: the
mean of the remaining runs would be biased.
"""

from collections import defaultdict
from dataclasses import replace

import numpy as np
from hdrh.histogram import HdrHistogram

BOOTSTRAP_SAMPLES, CONFIDENCE_LEVEL = 2000, 0.95
MAX_PANELS = 6  # cells shown in the chart by second
# x the median. A worst spread (time from a notice to a proxy's changed table) beyond it makes the mean
# meaningless.
HEAVY_TAIL_FACTOR = 10


def confidence_interval(values, rng):
    """Returns the (low, high) bounds of the mean, by bootstrap."""
    values = np.asarray(values, float)
    if len(values) < 2:
        return float(values[0]), float(values[0])
    means = values[rng.integers(0, len(values), (BOOTSTRAP_SAMPLES, len(values)))].mean(axis=1)
    return tuple(np.quantile(means, [(1 - CONFIDENCE_LEVEL) / 2, (1 + CONFIDENCE_LEVEL) / 2]))


def group_by_cell(rows):
    """Returns {levels: {arm: rows}}."""
    rows_by_cell = defaultdict(lambda: defaultdict(list))
    for row in rows:
        rows_by_cell[tuple(sorted(row["levels"].items()))][row["arm"]].append(row)
    return rows_by_cell


def sorted_cells(rows_by_cell, factors):
    """Returns the cells in the order in which the experiment lists the levels."""
    position = {name: {level: n for n, level in enumerate(levels)} for name, levels in factors}
    return sorted(
        rows_by_cell.items(), key=lambda item: [position[name][dict(item[0])[name]] for name, _ in factors]
    )


def page(experiment, results, charts=()):
    """Returns the report in Markdown; `charts` are the file names of its charts."""
    rows, rng = list(results.rows()), np.random.default_rng(1)
    _, commit, began = results.experiment_header()
    broken = [row for row in rows if row["kept"] == 0 and row["arm"] == experiment.arms[0][0]]
    failed = [row for row in rows if row["error"]]
    planned = sum(1 for _ in experiment.runs())
    lines = []
    if broken:
        broken_rules = sorted({rule for row in broken for rule in row["broken"]})
        lines.append(
            f"**{len(broken)} of {len(rows)} runs of arm {experiment.arms[0][0]} BREAK A RULE "
            f"({', '.join(broken_rules)}): "
            f"{', '.join(row['key'] for row in broken[:8])}**"
        )
    else:
        lines.append(f"No rule is broken in arm {experiment.arms[0][0]}.")
    if failed:
        lines.append(
            f"\n**{len(failed)} runs died or hung:** "
            + "; ".join(f"{r['key']}: {r['error']}" for r in failed[:8])
        )
    if len(rows) < planned:
        lines.append(f"\n**{planned - len(rows)} of {planned} runs are missing.**")
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
    factor_names = [name for name, _ in experiment.factors]
    lines += [
        "",
        "| "
        + " | ".join(
            [
                *factor_names,
                *(f"{arm}" for arm in arms),
                *(f"{a} - {first}" for a in arms[1:]),
                "rules broken",
                "spread p50 / worst ms",
            ]
        )
        + " |",
    ]
    lines.append("| --- " * (len(factor_names) + 2 * len(arms) + 1) + "|")
    worst = []
    for levels, by_arm in sorted_cells(group_by_cell(rows), experiment.factors):
        row = [dict(levels)[name] for name in factor_names]
        credit_by_seed = {
            arm: {r["seed"]: r["credit"] for r in by_arm[arm] if not r["error"]} for arm in arms
        }
        for arm in arms:
            failures = sum(1 for r in by_arm[arm] if r["error"])
            values = list(credit_by_seed[arm].values())
            if failures or not values:
                row.append(f"{failures} of {len(by_arm[arm])} died" if failures else "-")
            else:
                low, high = confidence_interval(values, rng)
                row.append(f"{np.mean(values):.3f} ({low:.3f} to {high:.3f})")
        for arm in arms[1:]:
            differences = [
                credit_by_seed[arm][s] - credit_by_seed[first][s]
                for s in credit_by_seed[arm]
                if s in credit_by_seed[first]
            ]
            if len(differences) < len(by_arm[first]) or not differences:
                row.append("-")
            else:
                low, high = confidence_interval(differences, rng)
                row.append(f"{np.mean(differences):+.3f} ({low:+.3f} to {high:+.3f})")
        row.append(" / ".join(str(sum(1 for r in by_arm[arm] if r["kept"] == 0)) for arm in arms))
        with_spread = [r for r in by_arm[first] if r["p50"] is not None]
        if with_spread:
            median, slowest = (
                np.median([r["p50"] for r in with_spread]),
                max(r["worst"] for r in with_spread),
            )
            row.append(
                f"{median:.0f} / {slowest:.0f}"
                + (" (heavy tail: no mean)" if slowest > HEAVY_TAIL_FACTOR * median else "")
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
        latency_table(experiment, results),
        "",
    ]
    return "\n".join(lines)


def factor_chart(experiment, results, path):
    """Draws mean credit by the first factor whose levels are numbers, with intervals, one line per arm.

    Returns:
        False if no factor has numeric levels; nothing is drawn then.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    numeric = [
        name
        for name, levels in experiment.factors
        if all(parse_number(level) is not None for level in levels)
    ]
    if not numeric:
        return False
    rows, rng, name = [r for r in results.rows() if not r["error"]], np.random.default_rng(1), numeric[0]
    figure, axis = pyplot.subplots(figsize=(7, 4))
    for arm, *_ in experiment.arms:
        credits_by_level = defaultdict(list)
        for row in rows:
            if row["arm"] == arm:
                credits_by_level[parse_number(row["levels"][name])].append(row["credit"])
        levels_shown = sorted(credits_by_level)
        if levels_shown:
            means = [np.mean(credits_by_level[x]) for x in levels_shown]
            intervals = [confidence_interval(credits_by_level[x], rng) for x in levels_shown]
            axis.plot(levels_shown, means, marker="o", label=arm)
            axis.fill_between(levels_shown, [b[0] for b in intervals], [b[1] for b in intervals], alpha=0.15)
    axis.set(xlabel=name, ylabel="credit", title=experiment.name, ylim=(0, 1.02))
    axis.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
    return True


def merge_histograms(rows):
    """Returns one histogram of the latencies of all rows, or None. Counts are added; nothing is averaged."""
    total = None
    for row in rows:
        if row["took"]:
            histogram = HdrHistogram.decode(row["took"])
            if total is None:
                total = histogram
            else:
                total.add(histogram)
    return total


def latency_table(experiment, results):
    """Returns a table of latency percentiles by levels and arm, from merged histograms."""
    names = [name for name, _ in experiment.factors]
    lines = [
        "",
        "| " + " | ".join([*names, "arm", "done", "p50 ms", "p90", "p99", "p99.9"]) + " |",
        "| --- " * (len(names) + 6) + "|",
    ]
    for levels, by_arm in sorted_cells(group_by_cell(results.rows()), experiment.factors):
        for arm, *_ in experiment.arms:
            histogram = merge_histograms(by_arm[arm])
            if histogram is not None and histogram.total_count:
                values = [f"{histogram.get_value_at_percentile(p) / 1000:.0f}" for p in (50, 90, 99, 99.9)]
                lines.append(
                    "| "
                    + " | ".join(
                        [*(dict(levels)[n] for n in names), arm, str(histogram.total_count), *values]
                    )
                    + " |"
                )
    return "\n".join(lines)


def credit_timeline_chart(experiment, results, path):
    """Draws credit by second: one panel per cell, one line per arm (mean over seeds), faults shaded.

    Returns:
        False if no row has credit by second; nothing is drawn then.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    shown = sorted_cells(group_by_cell(r for r in results.rows() if r["line"]), experiment.factors)[
        :MAX_PANELS
    ]
    if not shown:
        return False
    figure, axes = pyplot.subplots(len(shown), 1, figsize=(8, 2.2 * len(shown)), squeeze=False, sharex=True)
    first = next(iter(experiment.runs()))
    for axis, (levels, by_arm) in zip(axes[:, 0], shown, strict=False):
        day = experiment.day_of(
            replace(first, levels=tuple((n, dict(levels)[n]) for n, _ in experiment.factors))
        )
        for fault in day.faults:
            axis.axvspan(fault.at / 1e9, (fault.at + fault.lasts) / 1e9, color="grey", alpha=0.15)
            axis.text(fault.at / 1e9, 0.02, fault.name, fontsize=6, rotation=90)
        for arm, *_ in experiment.arms:
            rows = [row["line"] for row in by_arm[arm]]
            if rows:
                seconds = max(map(len, rows))
                credit_by_second = np.array(
                    [
                        [np.nan if n >= len(row) or row[n] is None else row[n] for n in range(seconds)]
                        for row in rows
                    ]
                )
                counts = np.maximum(1, (~np.isnan(credit_by_second)).sum(axis=0))
                axis.plot(np.nansum(credit_by_second, axis=0) / counts, label=arm, linewidth=1)
        axis.set(ylim=(0, 1.03), ylabel="credit", title=", ".join(f"{k}={v}" for k, v in levels))
    axes[0, 0].legend(fontsize=6, ncols=4)
    axes[-1, 0].set(xlabel="s")
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
    return True


def latency_chart(experiment, results, path):
    """Draws the latency distribution of all cells together, one line per arm.

    Returns:
        False if no row has latencies; nothing is drawn then.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axis = pyplot.subplots(figsize=(7, 4))
    drawn = False
    for arm, *_ in experiment.arms:
        histogram = merge_histograms(r for r in results.rows() if r["arm"] == arm)
        if histogram is not None and histogram.total_count:
            percentiles = 100 - np.geomspace(100, 0.01, 200)
            axis.plot(
                [max(0.1, histogram.get_value_at_percentile(p) / 1000) for p in percentiles],
                100 - percentiles,
                label=arm,
            )
            drawn = True
    axis.set(xscale="log", yscale="log", xlabel="ms", ylabel="% that took longer", title=experiment.name)
    axis.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
    return drawn


def parse_number(text):
    """Returns the text as a float, or None if it is no number."""
    try:
        return float(text)
    except ValueError:
        return None


def compare(before, after, rng=None):
    """Returns a table of the mean difference of credit, after - before, by arm and levels.

    Only runs that succeeded in both results files count; each mean has its confidence interval.
    """
    rng = rng or np.random.default_rng(1)
    before_by_key, after_by_key = ({r["key"]: r for r in results.rows()} for results in (before, after))
    differences = defaultdict(list)
    for key in sorted(before_by_key.keys() & after_by_key.keys()):
        a, b = before_by_key[key], after_by_key[key]
        if not a["error"] and not b["error"]:
            differences[a["arm"], tuple(sorted(a["levels"].items()))].append(b["credit"] - a["credit"])
    lines = ["| arm | levels | runs | difference of credit |", "| --- | --- | --- | --- |"]
    for (arm, levels), values in differences.items():
        low, high = confidence_interval(values, rng)
        level_text = ", ".join(f"{k}={v}" for k, v in levels) or "-"
        lines.append(
            f"| {arm} | {level_text} | {len(values)} | {np.mean(values):+.4f} ({low:+.4f} to {high:+.4f}) |"
        )
    unmatched = len(before_by_key.keys() ^ after_by_key.keys())
    failed = sum(
        1
        for key in before_by_key.keys() & after_by_key.keys()
        if before_by_key[key]["error"] or after_by_key[key]["error"]
    )
    lines.append(f"\n{unmatched} runs are in one file only, {failed} died in one or both.")
    return "\n".join(lines)
