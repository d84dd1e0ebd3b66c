"""The endpoint list: its messages, and the client that follows it without I/O."""

from .follower import EndpointListFollower
from .updates import ListUpdate, UpdateKind

__all__ = ["EndpointListFollower", "ListUpdate", "UpdateKind"]
