"""What operators see of replicas and subscribers. Times in seconds, sizes in bytes."""

import msgspec

from .connection import Traffic

MS = 10**6


class ReplicaStatus(msgspec.Struct, tag="replica", frozen=True):
    """One replica. `age_s`: since it was certain that nothing newer was committed, None if never.
    `fleet_subscribers` and `fleet_lowest_confirmed`: of all replicas together, known to the leader only."""

    cluster: str
    name: str
    role: str
    term: int
    leader: str
    has_majority: bool
    recovering: bool
    revision: int
    digest: int
    age_s: float | None
    keys: int
    state_bytes: int
    subscribers: int
    lowest_confirmed: int
    fleet_subscribers: int | None
    fleet_lowest_confirmed: int | None
    peers_connected: int
    saves: int
    steps: int
    writes_waiting: int
    update_retries: int
    silent_subscribers: int
    traffic: Traffic


class SubscriberStatus(msgspec.Struct, tag="subscriber", frozen=True):
    """One subscriber. `age_s`: since it was certain that nothing newer was committed, None if never."""

    cluster: str
    name: str
    replica: str
    connected: bool
    revision: int
    digest: int
    age_s: float | None
    keys: int
    saves: int
    save_fails: int
    counted: dict[str, int]
    traffic: Traffic


def seconds(age):
    """ns in seconds, up to the next millisecond: an age must not be told younger than it is."""
    return None if age is None else -(-age // MS) / 1_000
