"""Limits that hold for the whole fleet: shares under terms, one leader at a time by a majority's lease
(docs/design/limits.md).
"""

from .core import Limits
from .pace import Pace

__all__ = ["Limits", "Pace"]
