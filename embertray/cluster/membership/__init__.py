"""Who is there: a gossip failure detector without I/O (docs/design/cluster.md)."""

from .config import DEFAULT_CONFIG, MembershipConfig
from .core import Membership
from .member import ALIVE, DEAD, LEFT, SUSPECT, Member

__all__ = ["DEFAULT_CONFIG", "ALIVE", "DEAD", "LEFT", "SUSPECT", "Member", "Membership", "MembershipConfig"]
