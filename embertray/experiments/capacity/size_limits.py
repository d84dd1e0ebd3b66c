"""The size at which one part alone reaches its budget, by its law or its formula."""

from dataclasses import dataclass

from . import formulas

SIZE_MOST = 1_000_000  # sizes are looked for up to here


@dataclass(frozen=True)
class Reach:
    """`size`: the greatest whole one within the budget; 0 if none, SIZE_MOST if all. `source`: slope or
    formula.
    """

    what: str
    unit: str
    budget: float
    size_of: str
    size: int
    wanted: int
    source: str


def largest_within(grows, budget):
    """The greatest whole size at which grows(size) is within the budget; grows never falls."""
    if grows(1) > budget:
        return 0
    low, high = 1, 2
    while high < SIZE_MOST and grows(high) <= budget:
        low, high = high, min(2 * high, SIZE_MOST)
    if high == SIZE_MOST and grows(high) <= budget:
        return high
    while high - low > 1:
        middle = (low + high) // 2
        if grows(middle) <= budget:
            low = middle
        else:
            high = middle
    return low


def reaches(target, slopes):
    """A Reach for each steady part whose slope is at hand, and for each formula."""
    members, proxies, backends = target.controllers, target.proxies_per_controller, target.backends
    found = []
    for what, name, unit, budget, size_of, wanted in (
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
        at_hand = slopes.find(name)
        law = at_hand and slopes.fits[at_hand].law
        if law and law.factor > 0:
            size = largest_within(law.at, budget)
            found.append(Reach(what, unit, budget, size_of, size, wanted, f"`{at_hand}`, its law"))
    for what, grows, unit, budget, formula in (
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
        size = largest_within(grows, budget)
        found.append(Reach(what, unit, budget, "members", size, members, formula))
    return found
