"""Who is there: a gossip failure detector without I/O (docs/design/cluster.md)."""

from .core import Membership
from .member import ALIVE, DEAD, LEFT, SUSPECT, Member
from .pace import Pace

__all__ = ["ALIVE", "DEAD", "LEFT", "SUSPECT", "Member", "Membership", "Pace"]
