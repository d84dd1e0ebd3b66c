"""Max-min fair division of a pool among members."""


def divide(pool, demand):
    """Divide a pool by demand, with max-min fairness.

    Smaller demands are met first, and no member gets more than it wants while another lacks units. The rest
    is divided evenly, so that a rise in demand is covered.

    Args:
        pool: Units to divide.
        demand: member -> units wanted.

    Returns:
        member -> units, integers that add up to `pool`; deterministic.
    """
    by_demand = sorted(demand, key=lambda name: (demand[name], name))
    remaining = pool
    shares = {}
    for position, name in enumerate(by_demand):
        shares[name] = min(demand[name], remaining // (len(by_demand) - position))
        remaining -= shares[name]
    if remaining > 0 and by_demand:
        each, extra = divmod(remaining, len(by_demand))
        for position, name in enumerate(by_demand):
            shares[name] += each + (position < extra)
    return shares
