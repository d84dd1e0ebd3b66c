"""Named levels of reduced service: what is given up when not all can be served.

Operators, proxies and clients are notified of the level. `loss_meter` says how much is lost, `ladder`
decides.
"""

from .exceptions import NormalLevelError, UnknownLevelError
from .ladder import DegradationLadder, LevelChange
from .levels import LEVELS, DegradationLevel
from .loss_meter import LossMeter

__all__ = [
    "LEVELS",
    "DegradationLadder",
    "DegradationLevel",
    "LevelChange",
    "LossMeter",
    "NormalLevelError",
    "UnknownLevelError",
]
