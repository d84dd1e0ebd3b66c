"""The staleness bound of shared entries."""


def staleness_bound_ns(members, period, exchange_timeout, failing=0):
    """Return the time within which an entry reaches every member that its owner can reach.

    The bound is 2 (members - 1) period + 2 failing exchange_timeout + exchange_timeout.

    Each member starts one exchange per period, with each other member once per round of members - 1 periods,
    in an order that is reshuffled for each round. Two exchanges with the same member are therefore less than
    two rounds apart (first in one round, last in the next). An exchange with an unreachable member takes the
    exchange timeout instead of a period, and each such member is selected twice. In every exchange both
    sides receive what they lack.

    The age that a reader sees does not include the last message's time on the network, which is below
    `exchange_timeout`. If the owner rewrites its entry periodically, that period has to be added to the
    bound.

    Args:
        members: Number of members of the cluster, this one included.
        period: Time between two exchanges of one member, ns.
        exchange_timeout: Timeout of an exchange, ns.
        failing: Number of members with which exchanges fail.

    Returns:
        The bound, ns.
    """
    two_rounds = 2 * max(1, members - 1) * period
    failed_exchanges = 2 * failing * exchange_timeout
    return two_rounds + failed_exchanges + exchange_timeout
