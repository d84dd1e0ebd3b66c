"""The limits' true cores at small size: messages lost, repeated, delayed; members that crash, stand still and
wake; clocks that run apart.
"""

from .leader import LeaderModel
from .loans import LoansModel

__all__ = ["LeaderModel", "LoansModel"]
