"""Ids to objects and back, for whoever feeds the decision module; no I/O and nothing beyond the standard
library.
"""

from .door import Door

__all__ = ["Door"]
