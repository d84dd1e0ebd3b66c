"""What is reckoned from the program's own messages and formulas, in place of a slope."""

from dataclasses import dataclass

import msgspec

from embertray.cluster.limits import LimitsConfig
from embertray.cluster.limits.messages import QuotaGrant, QuotaRequest
from embertray.cluster.membership import MembershipConfig

S = 10**9
FRAME_BYTES = 4  # of a frame's length; how large a frame may be is not asked here
WORST = 10  # seconds of a worst mean
PERIOD = MembershipConfig().probe_period / S  # s
EXCHANGE = 2.0  # s: the longest exchange of state (docs/design/cluster.md)
BUSY_NUMBER = 2**40  # of the size that ballots, lives and sequence numbers have


def names(prefix, count):
    return [f"{prefix}-{number:05d}" for number in range(int(count))]


def ask_bytes(proxies, limits, members):
    """One ask of a controller: what its proxies act on, by limit, and the last ask of each other member."""
    here = names("proxy", proxies)
    limited = names("limit", limits)
    ask = QuotaRequest(
        BUSY_NUMBER,
        BUSY_NUMBER,
        BUSY_NUMBER,
        False,
        BUSY_NUMBER,
        dict.fromkeys(limited, 1000),
        {limit: dict.fromkeys(here, 1000) for limit in limited},
        frozenset(here),
        dict.fromkeys(names("controller", members), BUSY_NUMBER),
    )
    return FRAME_BYTES + len(msgspec.msgpack.encode(ask))


def grant_bytes(limits):
    grant = QuotaGrant(BUSY_NUMBER, BUSY_NUMBER, dict.fromkeys(names("limit", limits), 1000))
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


def limits_each_to_each(controllers, proxies, limits):
    """An ask from each to all others each period, as fleet/limits does it."""
    ask = ask_bytes(proxies, limits, controllers - 1)
    rate = (controllers - 1) * ask / (LimitsConfig().request_period / S)
    return LimitsCost(rate, rate, state=controllers * ask)


def limits_through_replicas(controllers, proxies, limits):
    """An ask from each controller to its replica each period, without what the sender heard of others, and a
    grant back.
    """
    ask, grant = ask_bytes(proxies, limits, 0), grant_bytes(limits)
    period = LimitsConfig().request_period / S
    return LimitsCost(ask / period, grant / period, controllers * ask / period, controllers * ask)


def staleness_promised(members):
    """2 (n - 1) T + E, and T until it is told anew (docs/design/cluster.md)."""
    return 2 * (members - 1) * PERIOD + EXCHANGE + PERIOD


def death_known(members):
    """(2 (n - 1) + 2 n + 18) T and the longest suspicion: the claim `seen` of docs/design/cluster.md."""
    return (2 * (members - 1) + 2 * members + 18) * PERIOD + MembershipConfig().suspicion_timeout(
        members, 0
    ) / S
