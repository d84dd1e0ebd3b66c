"""How a pool is divided among members."""


def divide(pool, demand):
    """Divide a pool by demand.

    Rule: the least demand is met first, and none gets more than it wants while another lacks (max-min
    fairness). What is left over goes to all alike, so that a rise in demand finds room.

    Args:
        pool: Units to divide.
        demand: member -> units wanted.

    Returns:
        member -> units, whole numbers that add up to `pool`; the same for the same input.
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
