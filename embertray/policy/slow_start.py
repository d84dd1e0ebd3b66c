"""Slow start: reduces the weight of a backend while it warms up.

Rule: until the configured warm-up time has passed since its start, a backend gets a share of the load under
which it would fail according to the deployment. The share grows with the backend's speed, which grows with
its age, and stays below the full weight until it is warm. While requests queue everywhere, proxies avoid busy
backends and pick the idle one, so a cold backend would get far more requests than its weight. It therefore
gets no line then, as long as the warm backends have two thirds of the fleet's capacity. With fewer, as in a
release of half the fleet, they can't serve the offered requests, which would queue until all backends are
warm: cold backends get lines, unless so many attempts at the warm ones fail that the same load would make a
cold one fail.

Inputs: age of the backend (ns), cold speed (share of the usual speed), warm-up time (ns), overload multiple
and line selection of the deployment; capacity and attempts in the short window of all ready backends. Output:
a factor on the weight, 0 to 1, and the backends that get no line.

Prevents overload of a backend that has just started: it fails at a multiple of its momentary capacity, and
stays down. Costs some capacity where a backend warms up sooner than configured.
"""

OVERLOAD_SHARE = 0.5  # of the load under which a cold backend fails
COLD_FACTOR_MAX = 0.95  # maximum factor on the weight until the backend is warm
TWO_CHOICES_FACTOR = 0.42  # proxies that pick the less busy of two lines prefer a cold backend
WARM_SHARE_ENOUGH = 2 / 3  # of the fleet's capacity; enough to serve the offered requests
# of the attempts at warm backends: these then get twice the load that they can serve, and a cold backend,
# which is given OVERLOAD_SHARE of the load under which it fails, would get all of that load
FAILED_SHARE_MAX = 1 - OVERLOAD_SHARE


def warm_up_factor(deployment, started_at, now):
    """Returns the factor on the weight of a backend for its age.

    Args:
        deployment: `interface.Deployment`.
        started_at: start time of the backend, ns; 0 or less: long ago.
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
    """Returns the backends that get lines in this control cycle.

    Args:
        stats: `BackendStats` of all ready backends.
        congested: whether requests queue at the warm backends.

    Returns:
        All of `stats`, or only the warm backends.
    """
    warm = [row for row in stats if row.warm_up_factor >= 1]
    return warm if congested and must_hold_back_cold(stats, warm) else stats


def must_hold_back_cold(stats, warm):
    """Whether cold backends get no line while requests queue at the warm ones.

    Args:
        stats: `BackendStats` of all ready backends.
        warm: the warm backends among them.
    """
    capacity = sum(row.backend.capacity for row in stats)
    warm_capacity = sum(row.backend.capacity for row in warm)
    attempts = sum(row.short_window.attempts for row in warm)
    failed = sum(row.short_window.failed for row in warm)
    return warm_capacity >= WARM_SHARE_ENOUGH * capacity or failed >= FAILED_SHARE_MAX * attempts
