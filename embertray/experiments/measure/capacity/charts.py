"""Charts of docs/CAPACITY.md: processor time, bytes and time to all by size, with the budget as a line."""

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

from embertray.experiments.capacity import formulas  # noqa: E402
from embertray.experiments.capacity.figure import REPORTED_PREFIX  # noqa: E402

SIZES = (8, 16, 32, 64, 128, 256, 470)  # at which calculated curves are drawn
LIMITS = 1


def draw_curve(axis, slopes, name, label):
    """Draws one slope's medians and fit; the reported slope if there is no measured one."""
    found = next((one for one in (name, REPORTED_PREFIX + name) if one in slopes.by_name), None)
    if found is None:
        return
    points = slopes.by_name[found].medians()
    sizes = [size for size, _ in points]
    suffix = " (reported)" if found != name else ""
    (line,) = axis.plot(sizes, [value for _, value in points], marker="o", linestyle="", label=label + suffix)
    fitted = [(size, value) for size in sizes if (value := slopes.fits[found].at(size)) > 0]
    axis.plot(*zip(*fitted, strict=True), color=line.get_color())


def draw_budget(axis, value, label):
    """Draws a budget as a horizontal dashed line."""
    axis.axhline(value, color="black", linestyle="--", linewidth=1, label=label)


def finish_axis(axis, **labels):
    """Sets logarithmic axes, the labels and the legend."""
    axis.set(xscale="log", yscale="log", **labels)
    axis.legend(fontsize=7)


def draw_processor(result, path):
    """Draws the processor time of decisions, gossip and the control plane."""
    slopes, target = result.slopes, result.target
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.4), sharey=True)
    for proxies in (68, 320):
        draw_curve(
            left, slopes, f"decisions-processor-{proxies}", f"decisions, {proxies} proxies, the target's load"
        )
        draw_curve(
            left, slopes, f"decisions-processor-{proxies}-all-heard", f"{proxies} proxies, all backends heard"
        )
    draw_curve(right, slopes, "cluster-processor", "gossip, a member")
    draw_curve(right, slopes, "control-subscriber-processor", "a subscriber")
    draw_curve(right, slopes, "control-replica-processor", "a replica")
    for axis, size in ((left, "backends"), (right, "members, subscribers")):
        draw_budget(axis, target.cores, "budget of a controller")
        finish_axis(axis, xlabel=size, ylabel="cores")
    save(figure, path)


def draw_bytes(result, path):
    """Draws the bytes per second of gossip, the control plane and the limits."""
    slopes, target = result.slopes, result.target
    figure, axis = pyplot.subplots(figsize=(6, 3.6))
    draw_curve(axis, slopes, "cluster-sent-bytes", "gossip, a member sends")
    draw_curve(axis, slopes, "virtual-cluster-sent-bytes", "the same under virtual time")
    draw_curve(axis, slopes, "control-subscriber-bytes", "a subscriber, both ways")
    draw_curve(axis, slopes, "control-replica-bytes", "a replica, both ways")
    for calculate, label in (
        (formulas.limits_all_to_all, "limits, each to each (reckoned)"),
        (formulas.limits_through_replicas, "limits, through replicas (reckoned)"),
    ):
        rates = [calculate(size, target.proxies_per_controller, LIMITS).controller_out for size in SIZES]
        axis.plot(SIZES, rates, linestyle=":", label=label)
    draw_budget(axis, target.bytes_a_second, "budget of a controller")
    finish_axis(axis, xlabel="members, subscribers", ylabel="bytes/s")
    save(figure, path)


def draw_time_to_all(result, path):
    """Draws how long a change takes to reach all members."""
    slopes, target = result.slopes, result.target
    figure, axis = pyplot.subplots(figsize=(6, 3.6))
    draw_curve(axis, slopes, "cluster-oldest", "gossip, oldest entry held")
    draw_curve(axis, slopes, "cluster-time-to-all", "gossip, until at all")
    draw_curve(axis, slopes, "control-time-to-all", "replicas, until in force at all")
    axis.plot(
        SIZES, [formulas.staleness_bound(size) for size in SIZES], ":", label="gossip, promised (reckoned)"
    )
    draw_budget(axis, target.in_force_within, "in force within")
    finish_axis(axis, xlabel="members, subscribers", ylabel="s")
    save(figure, path)


def save(figure, path):
    """Writes a figure to a PNG file and closes it."""
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)


def draw(result, folder):
    """Draws all charts into a folder."""
    draw_processor(result, folder / "processor.png")
    draw_bytes(result, folder / "bytes.png")
    draw_time_to_all(result, folder / "time.png")
