"""The degradation ladder: named levels of reduced service for overload.

`loss_meter` measures how much is lost, `ladder` decides the level, `levels` defines what each level disables.
Operators, proxies and clients see the level.
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
