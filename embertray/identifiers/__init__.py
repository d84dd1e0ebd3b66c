"""Ids to objects and back, for whoever feeds the decision module; no I/O and nothing beyond the standard
library.
"""

from .identifiers import Identifiers

__all__ = ["Identifiers"]
