"""Measures a stand-in proxy's pick: processor time, with an unchanged table and just after a change."""

import time

import numpy as np

from embertray.controller.stream.messages import Bind, Line, Orders
from embertray.experiments.measure.fleet import quantile
from embertray.service.site import load
from embertray.service.site.schema import SITE_FOLDER
from embertray.simulation.models.proxy import Proxy

PICKS, CHANGES = 5000, 300  # measured picks with an unchanged table; picks just after a changed line
MS = 10**6  # ns


def bound_proxy(picks, lines):
    """Returns a proxy with a bound table of `lines` lines."""
    site = load(SITE_FOLDER / "samples" / "pushed.xml").at(picks=picks)
    proxy = Proxy(site, np.random.default_rng(1))
    proxy.apply(Orders(0, 0, [Bind(1, [(f"b{number}", 1.0 + number % 7) for number in range(lines)])]))
    return proxy


def timed_pick(proxy, now):
    """Returns the processor seconds of one pick."""
    began = time.thread_time_ns()
    proxy.pick(now, [])
    return (time.thread_time_ns() - began) / 1e9


def measure(picks, lines):
    """Returns the processor seconds of each pick, (with an unchanged table, just after a change)."""
    proxy = bound_proxy(picks, lines)
    for now in range(100):
        proxy.pick(now * MS, [])
    steady = [timed_pick(proxy, now * MS) for now in range(PICKS)]
    changed = []
    for turn in range(CHANGES):
        proxy.apply(Orders(0, 0, [Line(1, f"b{turn % lines}", 2.0 + turn % 5)]))
        changed.append(timed_pick(proxy, turn * MS))
    return steady, changed


def run(recording, sizes):
    """Measures each way to pick, and saves the slopes."""
    for picks in ("weighted", "round", "two"):
        rows = [(size, *measure(picks, size)) for size in sizes]
        note = f"the stand-in's model, pick '{picks}'; {PICKS} picks, {CHANGES} right after a changed line"
        for name, index, share in (
            ("pick-p50", 0, 0.5),
            ("pick-p99", 0, 0.99),
            ("pick-changed-p50", 1, 0.5),
            ("pick-changed-p99", 1, 0.99),
        ):
            recording.save(
                f"{name}-{picks}",
                "s of processor a pick",
                "lines of the table",
                [(size, quantile(costs[index], share)) for size, *costs in rows],
                note,
            )
