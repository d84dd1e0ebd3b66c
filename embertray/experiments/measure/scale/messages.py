"""What the measuring process tells its workers, and what they report. Times are ns of the machine's monotonic
clock, which all processes share."""

import msgspec


class Timetable(msgspec.Struct, frozen=True):
    """When members start, when they are measured, and when something is written that all have to see."""

    starts: list[int]  # one a member of the worker
    window_from: int
    window_until: int
    marks: list[int]


class ClusterPlan(msgspec.Struct, tag="cluster", frozen=True):
    """Hollow members of a cluster. `all_addresses`: every member's, by name; `names`: this worker's."""

    timetable: Timetable
    names: list[str]
    all_addresses: dict[str, str]
    period: int
    facts_bytes: int
    marker: str  # the member that writes the marks


class ReplicaPlan(msgspec.Struct, tag="replica", frozen=True):
    """One control replica. `keys` entries of `value_bytes` are written before the marks."""

    timetable: Timetable
    names: list[str]
    peers: dict[str, str]
    listen: dict[str, str]
    keys: int
    value_bytes: int


class SubscriberPlan(msgspec.Struct, tag="subscriber", frozen=True):
    """Hollow subscribers. `follows`: for each, the replicas in the order of preference."""

    timetable: Timetable
    names: list[str]
    listen: dict[str, str]
    follows: list[list[str]]


Plan = ClusterPlan | ReplicaPlan | SubscriberPlan


class MemberReport(msgspec.Struct):
    """One member's window. Rates a second; worst: of any ten seconds in a row."""

    name: str
    sent: float
    received: float
    sent_worst: float
    received_worst: float
    messages: float
    seen: int  # members that it takes to be there, itself included
    oldest: float | None  # s; the oldest that it held in the window, None if it lacked something
    delays: dict[int, float]  # mark -> s until it was seen here
    failures: int  # exchanges, or connections, that failed since the start
    parts: dict[str, float] = {}  # bytes sent a second, by what for


class Report(msgspec.Struct):
    """One worker's. `processor`: seconds that its process spent in the window, its own measuring included."""

    role: str
    processor: float
    memory_before: int
    memory_after: int
    members: list[MemberReport]
