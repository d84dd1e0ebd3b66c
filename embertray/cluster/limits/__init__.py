"""Limits that hold for the whole fleet: shares under terms, one leader at a time by a majority's lease
(docs/design/limits.md).
"""

from .config import DEFAULT_CONFIG, LimitsConfig
from .core import Limits

__all__ = ["DEFAULT_CONFIG", "Limits", "LimitsConfig"]
