"""How long a shared entry may be stale: the bound, in nanoseconds."""


def staleness_bound_ns(members, period, exchange, failing=0):
    """Return the time within which an entry is known at every member that its owner reaches.

    Rule: 2 (members - 1) period + 2 failing exchange + exchange.

    Each member begins one exchange in each period, with each other member once in a round of members - 1
    periods, in an order that is drawn anew. Two exchanges with the same member are thus less than two rounds
    apart (first in one round, last in the next). A turn with a member that cannot be reached takes the
    timeout of an exchange in place of a period, and each such member comes twice. In every exchange both
    sides learn what they lack.

    The age that a reader is given leaves out the last message's time on the network, which is below
    `exchange`. An owner that writes its entry anew only every so often adds that time to the bound.

    Args:
        members: Members of the cluster, this one included.
        period: Time between two exchanges of one member, ns.
        exchange: Timeout of an exchange, ns.
        failing: Members with which exchanges fail.

    Returns:
        The bound, ns.
    """
    two_rounds = 2 * max(1, members - 1) * period
    failed_turns = 2 * failing * exchange
    return two_rounds + failed_turns + exchange
