"""Slow start: how much of its usual weight a backend gets while it warms up.

Rule: a backend that started less than the told warm-up time ago gets a part of the load under which the
deployment says that it would fall over. The part grows with the backend's age as its speed does, and never
reaches its full weight before it is warm. While requests queue everywhere, proxies shun busy backends and
pick the idle one, so that a cold backend would get far more than its weight: then it gets no line at all, as
long as the warm ones are two thirds of the fleet's capacity. Where they are fewer, as in a release of half
the fleet, they can't carry what comes, and would queue until all are warm: cold ones get lines, unless so
many attempts at the warm ones fail that the same load would push a cold one over.

Inputs: age of the backend (ns), the deployment's cold speed (share of the usual), warm-up time (ns), overload
multiple, and how proxies pick; of all ready backends capacity, and attempts in the short window. Decides: a
factor on the weight, 0 to 1, and who gets no line.

Guards against pushing over a backend that has just started: it falls under several times what it can do at
that moment and stays down. Costs some capacity where a backend warms sooner than told.
"""

OVERLOAD_SHARE = 0.5  # share of the load under which a cold backend falls over
COLD_FACTOR_MAX = 0.95  # factor on the weight until it is warm
TWO_CHOICES_FACTOR = 0.42  # proxies that draw two and take the idler one prefer a cold backend
WARM_SHARE_ENOUGH = 2 / 3  # of the fleet's capacity: the warm ones carry what comes
# of the warm ones' attempts: they get twice what they can do, and a cold one, with its part of the load under
# which it falls over, would get all of that load
FAILED_SHARE_MAX = 1 - OVERLOAD_SHARE


def warm_up_factor(deployment, started_at, now):
    """How much of its weight a backend gets for its age.

    Args:
        deployment: `interface.Deployment`.
        started_at: when the backend started, ns; 0 or less: long ago.
        now: time of the step, ns.

    Returns:
        A factor, 1.0 for a warm backend.
    """
    age = max(0, now - started_at)
    if started_at <= 0 or age >= deployment.warm_up_time:
        return 1.0
    speed = deployment.cold_speed + (1 - deployment.cold_speed) * age / deployment.warm_up_time
    selection_factor = TWO_CHOICES_FACTOR if deployment.pick == "two" else 1.0
    return min(
        COLD_FACTOR_MAX, speed * (OVERLOAD_SHARE * deployment.overload_multiple * selection_factor or 1)
    )


def backends_with_weight(stats, congested):
    """The backends that get a weight now; the others wait.

    Args:
        stats: `BackendStats` of all ready backends.
        congested: whether requests queue at the warm ones.

    Returns:
        Those of `stats` that may get lines: all, or the warm ones alone.
    """
    warm = [row for row in stats if row.warm_up_factor >= 1]
    return warm if congested and must_hold_back_cold(stats, warm) else stats


def must_hold_back_cold(stats, warm):
    """Whether cold backends get no line while requests queue.

    Args:
        stats: `BackendStats` of all ready backends.
        warm: those of them that are warm.
    """
    capacity = sum(row.backend.capacity for row in stats)
    warm_capacity = sum(row.backend.capacity for row in warm)
    attempts = sum(row.short_window.attempts for row in warm)
    failed = sum(row.short_window.failed for row in warm)
    return warm_capacity >= WARM_SHARE_ENOUGH * capacity or failed >= FAILED_SHARE_MAX * attempts
