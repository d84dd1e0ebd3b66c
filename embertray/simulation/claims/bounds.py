"""Time bounds within which a cluster's members have to detect failures and recoveries; all in ns."""

from embertray.cluster.membership import MembershipConfig
from embertray.cluster.state.staleness import staleness_bound_ns

SECOND_NS = 10**9
PUBLISH_PERIOD_NS = SECOND_NS  # after which an owner publishes its entries again


def detection_bound(members, period):
    """Returns the time until all others consider a failed member dead or left.

    It covers a probe within two rounds, a suspicion that nobody confirms, two rounds of gossip, and a probe
    by each member that is told. Probes take longer while the prober's own health score is bad.

    Args:
        members: number of members.
        period: ns between two probes of one member.
    """
    config = MembershipConfig(probe_period=period)
    periods = 2 * (members - 1) + 2 * (config.max_health_score + 1) + 2 * members
    return periods * period + config.suspicion_timeout(members, 0)


def recovery_bound(members, period):
    """Returns the time until nobody considers a member dead that all reach again.

    It covers a ping to a member considered dead, in its turn; the exchange of all knowledge between all
    members, in turns; and the refutations of live members. The arguments are those of detection_bound.
    """
    helper_rounds = -(-(members - 1) // MembershipConfig().indirect_probes)
    return (5 * helper_rounds + 5 * (members - 1) + 1 + 2 * members) * period


def freshness_bound(members, period, exchange, unreachable):
    """Returns the greatest allowed age of an entry at a member that reaches its owner directly.

    Args:
        members: number of members.
        period: ns between two exchanges of one member.
        exchange: ns after which an exchange with an unreachable member is abandoned.
        unreachable: number of members that the better connected of the two cannot reach.
    """
    return staleness_bound_ns(members, period, exchange, unreachable) + PUBLISH_PERIOD_NS
