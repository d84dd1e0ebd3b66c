"""`python -m embertray.measure.charts OUT.png CHURN.jsonl [TITLE]`: each purpose's usual size over the minutes of a churn."""
import json
import sys

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402


def churn(out, source, title):
    rows = [json.loads(row) for row in open(source)]
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


if __name__ == "__main__":
    churn(sys.argv[1], sys.argv[2], sys.argv[3] if len(sys.argv) > 3 else "usual size by purpose")
