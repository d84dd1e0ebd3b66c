"""The cluster's sockets: UDP for probes, TCP for state, on loopback; a task of its own beside the
daemon's.
"""

from .link import ClusterLink

__all__ = ["ClusterLink"]
