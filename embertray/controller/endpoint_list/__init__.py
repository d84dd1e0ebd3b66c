"""The client side of the endpoint list: its messages, and the state machine that follows it without I/O."""

from .follower import EndpointListFollower
from .updates import ListUpdate, UpdateKind

__all__ = ["EndpointListFollower", "ListUpdate", "UpdateKind"]
