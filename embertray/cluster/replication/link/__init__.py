"""Sockets and files around the state machines: a replica's server and a subscriber's client."""

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
