"""What the parts of the decision module hand to each other about levels."""

from typing import NamedTuple

from .backend import Totals


class Level(NamedTuple):
    """What is let in of a request kind, and how it may be tried again (`interface.SetLevel`)."""

    level: float
    retry: int  # 1: only after proof that the first try never ran


class FleetState(NamedTuple):
    """What all backends of one controller come to at one beat."""

    wait: float  # mean time in queues, ns
    falls: bool  # the latency falls
    empty: bool  # the newest loads are far below those of the long window
    busy: float  # mean load if it tells of busy slots, else 1
    short: Totals  # of the short window, all backends
    able: float  # capacity, in average backends
    cold: bool  # some backend is not warm yet
