"""The cluster's network I/O: UDP for probes and gossip, TCP for the exchange of shared entries.

It runs in a task of its own. The protocol logic is in `membership` and `state`.
"""

from .exceptions import LinkError, UnexpectedMessageError
from .link import ClusterLink

__all__ = ["ClusterLink", "LinkError", "UnexpectedMessageError"]
