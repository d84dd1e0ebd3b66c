"""The size at which one part alone reaches its budget, by its law or its formula."""

from dataclasses import dataclass

from . import formulas

MAX_SIZE = 1_000_000  # the search ends here


@dataclass(frozen=True)
class SizeLimit:
    """The size at which a part reaches its budget.

    Attributes:
        what: The part.
        unit: The unit of the budget.
        budget: The budget.
        size_unit: What the size counts.
        size: The greatest size within the budget; 0 if none is, MAX_SIZE if all are.
        target_size: The size that the target has.
        source: The slope or formula.
    """

    what: str
    unit: str
    budget: float
    size_unit: str
    size: int
    target_size: int
    source: str


def largest_within(cost, budget):
    """Returns the greatest size at which cost(size), which must not decrease, is within the budget."""
    if cost(1) > budget:
        return 0
    low, high = 1, 2
    while high < MAX_SIZE and cost(high) <= budget:
        low, high = high, min(2 * high, MAX_SIZE)
    if high == MAX_SIZE and cost(high) <= budget:
        return high
    while high - low > 1:
        middle = (low + high) // 2
        if cost(middle) <= budget:
            low = middle
        else:
            high = middle
    return low


def size_limits(target, slopes):
    """Returns a SizeLimit for each steady part whose slope is available, and for each formula."""
    members, proxies, backends = target.controllers, target.proxies_per_controller, target.backends
    limits = []
    for what, name, unit, budget, size_unit, target_size in (
        (
            "decisions, the target's load",
            "decisions-processor-68",
            "cores",
            target.cores,
            "backends",
            backends,
        ),
        ("decisions, silent", "decisions-processor-68-silent", "cores", target.cores, "backends", backends),
        (
            "a whole controller, silent",
            "streams-processor-by-backends",
            "cores",
            target.cores,
            "backends",
            backends,
        ),
        ("reports", "reports-processor", "cores", target.cores, "proxies", proxies),
        ("gossip, processor", "cluster-processor", "cores", target.cores, "members", members),
        ("gossip, bytes sent", "cluster-sent-bytes", "bytes/s", target.bytes_a_second, "members", members),
        (
            "a subscriber, bytes both ways",
            "control-subscriber-bytes",
            "bytes/s",
            target.bytes_a_second,
            "subscribers",
            members,
        ),
        (
            "a subscriber, processor",
            "control-subscriber-processor",
            "cores",
            target.cores,
            "subscribers",
            members,
        ),
        ("until in force at all", "control-time-to-all", "s", target.in_force_within, "subscribers", members),
    ):
        slope_name = slopes.find(name)
        law = slope_name and slopes.fits[slope_name].law
        if law and law.factor > 0:
            size = largest_within(law.at, budget)
            limits.append(
                SizeLimit(what, unit, budget, size_unit, size, target_size, f"`{slope_name}`, its law")
            )
    for what, cost, unit, budget, formula in (
        (
            "gossip, staleness promised",
            formulas.staleness_bound,
            "s",
            target.in_force_within,
            "reckoned: 2 (n - 1) T + E + T",
        ),
        (
            "limits, each to each, bytes sent",
            lambda size: formulas.limits_all_to_all(size, proxies, target.assumed("limits")).controller_out,
            "bytes/s",
            target.bytes_a_second,
            "reckoned: (n - 1) x bytes of an ask",
        ),
    ):
        size = largest_within(cost, budget)
        limits.append(SizeLimit(what, unit, budget, "members", size, members, formula))
    return limits
