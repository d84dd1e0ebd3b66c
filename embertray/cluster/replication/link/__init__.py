"""The control plane's sockets and files round its cores: a replica's process, and a subscriber's task."""

from .pending_writes import OutcomeUnknown
from .replica_server import ReplicaServer, ReplicaSettings
from .subscriber_client import SubscriberClient, SubscriberSettings

__all__ = ["OutcomeUnknown", "ReplicaServer", "ReplicaSettings", "SubscriberClient", "SubscriberSettings"]
