"""Network and disk I/O for the state machines: the replica's server and the subscriber's client."""

from embertray.cluster.replication.exceptions import OutcomeUnknownError

from .replica_server import ReplicaServer, ReplicaSettings
from .subscriber_client import SubscriberClient, SubscriberSettings

__all__ = [
    "OutcomeUnknownError",
    "ReplicaServer",
    "ReplicaSettings",
    "SubscriberClient",
    "SubscriberSettings",
]
