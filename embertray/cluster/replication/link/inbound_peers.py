"""Inbound connections of other replicas."""

from functools import partial

from embertray.cluster.replication.codec import decode_replica_message
from embertray.cluster.replication.exceptions import ConnectionRejectedError

from .connection import MAX_REPLICA_FRAME_BYTES
from .inbound_connections import InboundConnections


class InboundPeers(InboundConnections):
    """Delivers the messages of other replicas to this one.

    Args:
        replica: the Replica.
        events: the EventQueue of its loop.
        traffic: the Traffic to count in.
        log: a structlog logger.

    Attributes:
        last_received_at: name of each other replica -> ns of its last message.
    """

    def __init__(self, replica, events, traffic, log):
        super().__init__(decode_replica_message, MAX_REPLICA_FRAME_BYTES, traffic, log)
        self.replica = replica
        self.events = events
        self.last_received_at = {}

    def identify(self, message):
        """Returns the sender's name. Raises ConnectionRejectedError for unknown replicas and clusters."""
        if message.cluster != self.replica.cluster:
            raise ConnectionRejectedError(f"peer belongs to cluster {message.cluster}")
        if message.sender not in self.replica.others:
            raise ConnectionRejectedError(f"{message.sender} is not another replica of this cluster")
        return message.sender

    async def deliver(self, name, connection, messages):
        """Passes messages to the replica; returns once it has handled them."""
        await self.events.submit_and_wait(partial(self._receive, name, messages))

    def _receive(self, name, messages, now):
        self.last_received_at[name] = now
        for message in messages:
            if message.sender == name:
                self.replica.receive(now, message)
