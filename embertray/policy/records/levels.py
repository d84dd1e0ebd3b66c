"""What the rules hand to each other about load and admission."""

from typing import NamedTuple

from .backend import Totals


class AdmissionLevel(NamedTuple):
    """How much of a request kind proxies admit, and how they may retry it (`interface.SetAdmission`)."""

    admitted: float  # share, or requests a second at each proxy
    retry: int  # 1: only after proof that the first attempt never ran


class FleetState(NamedTuple):
    """What all backends of one controller come to at one beat."""

    queue_wait: float  # mean time in queues, ns
    latency_falling: bool  # the latency falls
    queues_drained: bool  # the newest loads are far below those of the long window
    busy_share: float  # mean load if it tells of busy slots, else 1
    short_window: Totals  # of the short window, all backends
    capacity: float  # average backends
    has_cold: bool  # some backend is not warm yet
