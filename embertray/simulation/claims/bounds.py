"""Within which times a cluster's members have to agree with what happened; all in ns."""

from embertray.cluster.membership import MembershipConfig
from embertray.cluster.state.staleness import staleness_bound_ns

SECOND_NS = 10**9
PUBLISH_PERIOD_NS = SECOND_NS  # until an owner publishes its entries anew


def detection_bound(members, period):
    """Until all others take a member that fails for dead or left.

    A probe in two rounds; a suspicion that nobody confirms; two rounds of gossip; a probe of its own by each
    that hears of it. Probes are stretched while the prober itself is not well.

    Args:
        members: how many the cluster has.
        period: ns between two probes of one member.
    """
    config = MembershipConfig(probe_period=period)
    periods = 2 * (members - 1) + 2 * (config.max_health_score + 1) + 2 * members
    return periods * period + config.suspicion_timeout(members, 0)


def recovery_bound(members, period):
    """Until nobody takes a member for dead that all reach again.

    A ping to one that is taken for dead, in its turn; what each knows to each other, in turns; and the
    refutations of those that live. The arguments are those of detection_bound.
    """
    helper_rounds = -(-(members - 1) // MembershipConfig().indirect_probes)
    return (5 * helper_rounds + 5 * (members - 1) + 1 + 2 * members) * period


def freshness_bound(members, period, exchange, unreachable):
    """How old an entry may be at a member that reaches its owner directly.

    Args:
        members: how many the cluster has.
        period: ns between two exchanges of one member.
        exchange: ns that an exchange with an unreachable member takes until it is given up.
        unreachable: members that the better connected of the two can't reach.
    """
    return staleness_bound_ns(members, period, exchange, unreachable) + PUBLISH_PERIOD_NS
