"""Named levels of reduced service: what is given up when not all can be served, told to operators, proxies
and clients.
"""

from .ladder import DegradationLadder, LevelChange

__all__ = ["LevelChange", "DegradationLadder"]
