"""Plans that the measuring process sends to its workers, and the reports that they return.

Times are ns of the machine's monotonic clock, which all processes share.
"""

import msgspec


class Timetable(msgspec.Struct, frozen=True):
    """When members start, when they are measured, and when marks are written that all have to see."""

    starts: list[int]  # for each member of the worker
    window_from: int
    window_until: int
    marks: list[int]


class ClusterPlan(msgspec.Struct, tag="cluster", frozen=True):
    """Hollow members of a cluster.

    `all_addresses` holds the address of every member by name; `names` are those of this worker.
    """

    timetable: Timetable
    names: list[str]
    all_addresses: dict[str, str]
    period: int
    facts_bytes: int
    marker: str  # the member that writes the marks


class ReplicaPlan(msgspec.Struct, tag="replica", frozen=True):
    """One control replica; `keys` entries of `value_bytes` are written before the marks."""

    timetable: Timetable
    names: list[str]
    peers: dict[str, str]
    listen: dict[str, str]
    keys: int
    value_bytes: int


class SubscriberPlan(msgspec.Struct, tag="subscriber", frozen=True):
    """Hollow subscribers; `follows` holds the replicas of each in the order of preference."""

    timetable: Timetable
    names: list[str]
    listen: dict[str, str]
    follows: list[list[str]]


Plan = ClusterPlan | ReplicaPlan | SubscriberPlan


class MemberReport(msgspec.Struct):
    """One member's figures over the window.

    Rates are per second; the worst ones are the greatest mean of any ten consecutive seconds.
    """

    name: str
    sent: float
    received: float
    sent_worst: float
    received_worst: float
    messages: float
    seen: int  # members that it takes to be alive, itself included
    oldest: float | None  # s; the greatest age of an entry in the window, None if it lacked one
    delays: dict[int, float]  # mark -> s until this member saw it
    failures: int  # failed exchanges, writes or messages since the start
    parts: dict[str, float] = {}  # bytes sent per second, by purpose


class Report(msgspec.Struct):
    """One worker's figures.

    `processor` is the processor seconds of its process in the window, its own measuring included.
    """

    role: str
    processor: float
    memory_before: int
    memory_after: int
    members: list[MemberReport]
