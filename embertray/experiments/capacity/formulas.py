"""What is reckoned from the program's own messages and formulas, in place of a slope."""

from dataclasses import dataclass

import msgspec

from embertray.cluster.limits import LimitsConfig
from embertray.cluster.limits.messages import QuotaGrant, QuotaRequest
from embertray.cluster.membership import MembershipConfig

SECOND_NS = 10**9
FRAME_BYTES = 4  # of a frame's length; how large a frame may be is not asked here
WORST_WINDOW_S = 10  # seconds of a worst mean
PROBE_PERIOD_S = MembershipConfig().probe_period / SECOND_NS  # s
MAX_EXCHANGE_S = 2.0  # s: the longest exchange of state (docs/design/cluster.md)
LARGE_NUMBER = 2**40  # of the size that ballots, lives and sequence numbers have


def numbered_names(prefix, count):
    return [f"{prefix}-{number:05d}" for number in range(int(count))]


def quota_request_bytes(proxies, limits, members):
    """One ask of a controller: what its proxies act on, by limit, and the last ask of each other member."""
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
    grant = QuotaGrant(LARGE_NUMBER, LARGE_NUMBER, dict.fromkeys(numbered_names("limit", limits), 1000))
    return FRAME_BYTES + len(msgspec.msgpack.encode(grant))


@dataclass(frozen=True)
class LimitsCost:
    """Bytes a second that shares of the limits cost. `controller_out`, `controller_in`: of one controller;
    `replica_in`: of the one replica that keeps the shares and hears of all; `state`: that it holds.
    """

    controller_out: float
    controller_in: float
    replica_in: float = 0.0
    state: float = 0.0


def limits_all_to_all(controllers, proxies, limits):
    """An ask from each to all others each period, as fleet/limits does it."""
    request_bytes = quota_request_bytes(proxies, limits, controllers - 1)
    rate = (controllers - 1) * request_bytes / (LimitsConfig().request_period / SECOND_NS)
    return LimitsCost(rate, rate, state=controllers * request_bytes)


def limits_through_replicas(controllers, proxies, limits):
    """An ask from each controller to its replica each period, without what the sender heard of others, and a
    grant back.
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
    """2 (n - 1) T + E, and T until it is told anew (docs/design/cluster.md)."""
    return 2 * (members - 1) * PROBE_PERIOD_S + MAX_EXCHANGE_S + PROBE_PERIOD_S


def failure_detection_bound(members):
    """(2 (n - 1) + 2 n + 18) T and the longest suspicion: the claim `seen` of docs/design/cluster.md."""
    return (2 * (members - 1) + 2 * members + 18) * PROBE_PERIOD_S + MembershipConfig().suspicion_timeout(
        members, 0
    ) / SECOND_NS
