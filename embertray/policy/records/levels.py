"""Load and admission values that the rules exchange."""

from typing import NamedTuple

from .backend import Totals


class AdmissionLevel(NamedTuple):
    """Admission limit and retry mode of a request kind (`interface.SetAdmission`)."""

    admitted: float  # share, or requests a second at each proxy
    retry: int  # mode; 1: only after proof that the first attempt never ran


class FleetState(NamedTuple):
    """Load of all backends of one controller in one control cycle."""

    queue_wait: float  # mean queueing time, ns
    latency_falling: bool  # mean latency is lower than a few cycles ago
    queues_drained: bool  # the newest loads are far below the long window's mean
    busy_share: float  # mean load if reports include a busy share, else 1
    short_window: Totals  # over all backends
    capacity: float  # average backends
    has_cold: bool  # some backend is still warming up
