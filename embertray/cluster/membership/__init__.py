"""Cluster membership: a gossip failure detector (SWIM with Lifeguard's local health) without I/O.

`Membership` is a state machine: it is handed the time and the messages that came, and returns the messages
to send. The design is in docs/design/cluster.md.
"""

from .config import DEFAULT_CONFIG, MembershipConfig
from .core import Membership
from .events import MemberChanged, OutgoingMessage
from .exceptions import MembershipError, UnreadableMessageError
from .member import ALIVE, DEAD, LEFT, SUSPECT, Member, MemberState, Statement

__all__ = [
    "ALIVE",
    "DEAD",
    "DEFAULT_CONFIG",
    "LEFT",
    "SUSPECT",
    "Member",
    "MemberChanged",
    "MemberState",
    "Membership",
    "MembershipConfig",
    "MembershipError",
    "OutgoingMessage",
    "Statement",
    "UnreadableMessageError",
]
