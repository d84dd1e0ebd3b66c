"""Cluster membership: a gossip-based failure detector (SWIM with Lifeguard's local health) without I/O.

`Membership` is a state machine: its input is the time and the received messages, its output the messages to
send. The design is in docs/design/cluster.md.
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
