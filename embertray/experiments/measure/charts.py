"""Draws charts of measurements.

`python -m embertray.experiments.measure.charts OUT.png CHURN.jsonl [TITLE]` draws the usual size of each
memory purpose over a churn's minutes. For a file that ends in .md, the table that
embertray.experiments.measure.start prints, it draws credit by the share of backends replaced, for each
variant.
"""

import json
import sys

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402


def churn(out, source, title):
    """Draws the usual size of each memory purpose, and resident memory, over a churn's minutes."""
    with open(source) as lines:
        rows = [json.loads(row) for row in lines]
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 3.6), gridspec_kw={"width_ratios": (3, 1)})
    minutes = [row["minute"] for row in rows]
    for n, account in enumerate(rows[0]["purposes"]):
        if account["purpose"] != "probes":
            left.plot(minutes, [row["purposes"][n]["usual"] / 1024 for row in rows], label=account["purpose"])
    left.set(xlabel="minute", ylabel="KiB", yscale="log", title=title)
    left.legend(ncols=3, fontsize=8)
    right.plot(minutes, [row["resident"] / 2**20 for row in rows], color="black")
    right.set(xlabel="minute", ylabel="MiB", title="resident", ylim=(0, None))
    figure.tight_layout()
    figure.savefig(out, dpi=80)


def start(out, source):
    """Draws the rows of the table of `start` whose snapshot is an hour old."""
    with open(source) as lines:
        rows = [
            [cell.strip() for cell in row.strip("| \n").split("|")] for row in lines if row.startswith("| ")
        ]
    rows = [row for row in rows if len(row) == 8 and row[1] == "60min"]
    figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.4), sharey=True)
    for axis, kind in zip(axes, ("as the tables", "behind the tables"), strict=False):
        mine = [row for row in rows if row[0] == kind]
        for n, variant in enumerate(("by age", "in full", "waits")):
            axis.plot(
                [float(row[2].rstrip("%")) for row in mine],
                [float(row[3].split("/")[n]) for row in mine],
                marker="o",
                label=variant,
            )
        axis.set(xlabel="replaced, percent", title=f"list an hour old, {kind}", ylim=(0, 1.02))
    axes[0].set(ylabel="credit")
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(out, dpi=80)


if __name__ == "__main__":
    if sys.argv[2].endswith(".md"):
        start(sys.argv[1], sys.argv[2])
        sys.exit()
    churn(sys.argv[1], sys.argv[2], sys.argv[3] if len(sys.argv) > 3 else "usual size by purpose")
