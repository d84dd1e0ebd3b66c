"""The limits' true cores at small size: messages lost, repeated, delayed; members that crash, stand still and
wake; clocks that run apart.
"""

from .keeper import KeeperModel
from .loans import LoansModel

__all__ = ["KeeperModel", "LoansModel"]
