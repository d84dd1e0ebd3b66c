"""Figures that are calculated from the program's own messages and formulas instead of a slope."""

from dataclasses import dataclass

import msgspec

from embertray.cluster.limits import LimitsConfig
from embertray.cluster.limits.messages import QuotaGrant, QuotaRequest
from embertray.cluster.membership import MembershipConfig

SECOND_NS = 10**9
FRAME_BYTES = 4  # length prefix of a frame; the limit on frame sizes is not considered
WORST_WINDOW_S = 10  # window of the worst mean
PROBE_PERIOD_S = MembershipConfig().probe_period / SECOND_NS
MAX_EXCHANGE_S = 2.0  # longest exchange of state (docs/design/cluster.md)
LARGE_NUMBER = 2**40  # stands for ballots, incarnations and sequence numbers of realistic size


def numbered_names(prefix, count):
    """Returns `count` names of equal length."""
    return [f"{prefix}-{number:05d}" for number in range(int(count))]


def quota_request_bytes(proxies, limits, members):
    """Returns the size of a controller's quota request.

    It contains the demand of its proxies by limit, and the last request of each other member.
    """
    proxy_names = numbered_names("proxy", proxies)
    limit_names = numbered_names("limit", limits)
    request = QuotaRequest(
        LARGE_NUMBER,
        LARGE_NUMBER,
        LARGE_NUMBER,
        False,
        LARGE_NUMBER,
        dict.fromkeys(limit_names, 1000),
        {limit: dict.fromkeys(proxy_names, 1000) for limit in limit_names},
        frozenset(proxy_names),
        dict.fromkeys(numbered_names("controller", members), LARGE_NUMBER),
    )
    return FRAME_BYTES + len(msgspec.msgpack.encode(request))


def quota_grant_bytes(limits):
    """Returns the size of a quota grant."""
    grant = QuotaGrant(LARGE_NUMBER, LARGE_NUMBER, dict.fromkeys(numbered_names("limit", limits), 1000))
    return FRAME_BYTES + len(msgspec.msgpack.encode(grant))


@dataclass(frozen=True)
class LimitsCost:
    """The cost of sharing quotas.

    Attributes:
        controller_out: Bytes per second that a controller sends.
        controller_in: Bytes per second that a controller receives.
        replica_in: Bytes per second that the replica that keeps the quotas receives from all controllers.
        state: Bytes that the keeper of the quotas holds.
    """

    controller_out: float
    controller_in: float
    replica_in: float = 0.0
    state: float = 0.0


def limits_all_to_all(controllers, proxies, limits):
    """Returns the cost of a request from each controller to all others per period, as cluster/limits does."""
    request_bytes = quota_request_bytes(proxies, limits, controllers - 1)
    rate = (controllers - 1) * request_bytes / (LimitsConfig().request_period / SECOND_NS)
    return LimitsCost(rate, rate, state=controllers * request_bytes)


def limits_through_replicas(controllers, proxies, limits):
    """Returns the cost of a request from each controller to its replica every period, and a grant back.

    The request does not name what the sender heard of others.
    """
    request_bytes, grant_bytes = quota_request_bytes(proxies, limits, 0), quota_grant_bytes(limits)
    period = LimitsConfig().request_period / SECOND_NS
    return LimitsCost(
        request_bytes / period,
        grant_bytes / period,
        controllers * request_bytes / period,
        controllers * request_bytes,
    )


def staleness_bound(members):
    """Returns the bound in s on the age of shared state (docs/design/cluster.md).

    It is 2 (n - 1) T + E, and T until the state is sent again; T is PROBE_PERIOD_S, E is MAX_EXCHANGE_S.
    """
    return 2 * (members - 1) * PROBE_PERIOD_S + MAX_EXCHANGE_S + PROBE_PERIOD_S


def failure_detection_bound(members):
    """Returns the bound in s until all members know of a failure.

    It is (2 (n - 1) + 2 n + 18) T and the longest suspicion: the claim `seen` of docs/design/cluster.md.
    T is PROBE_PERIOD_S.
    """
    return (2 * (members - 1) + 2 * members + 18) * PROBE_PERIOD_S + MembershipConfig().suspicion_timeout(
        members, 0
    ) / SECOND_NS
