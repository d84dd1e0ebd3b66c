"""The cluster's sockets: UDP for probes and gossip, TCP for the exchange of shared entries.

It runs in a task of its own beside the service's; nothing is decided here.
"""

from .exceptions import LinkError, UnexpectedMessageError
from .link import ClusterLink

__all__ = ["ClusterLink", "LinkError", "UnexpectedMessageError"]
