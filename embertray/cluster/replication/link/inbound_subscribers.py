"""Inbound connections of subscribers."""

from functools import partial

from embertray.cluster.replication.codec import decode_from_subscriber
from embertray.cluster.replication.exceptions import ConnectionRejectedError, SubscriberRejectedError
from embertray.cluster.replication.messages import Subscribe

from .connection import MAX_FRAME_FROM_SUBSCRIBER_BYTES
from .inbound_connections import InboundConnections


class InboundSubscribers(InboundConnections):
    """Delivers the messages of subscribers to the replica's feed.

    Args:
        feed: the SubscriberFeed.
        events: the EventQueue of the replica's loop.
        traffic: the Traffic to count in.
        log: a structlog logger.
    """

    def __init__(self, feed, events, traffic, log):
        super().__init__(decode_from_subscriber, MAX_FRAME_FROM_SUBSCRIBER_BYTES, traffic, log)
        self.feed = feed
        self.events = events

    def identify(self, message):
        """Returns the subscriber's name. Raises ConnectionRejectedError unless it subscribes."""
        if not isinstance(message, Subscribe):
            raise ConnectionRejectedError("the first message must be a Subscribe")
        return message.subscriber

    async def deliver(self, name, connection, messages):
        """Passes messages to the feed; returns once it has handled them."""
        await self.events.submit_and_wait(partial(self._receive, name, connection, messages))

    def on_disconnected(self, name):
        """Ends the subscription, unless the subscriber has reconnected."""
        self.events.submit(partial(self._drop_subscription, name))

    def _receive(self, name, connection, messages, now):
        if self.by_name.get(name) is not connection:
            return  # replaced by a newer connection of the same subscriber
        try:
            for message in messages:
                self.feed.receive(now, name, message)
        except SubscriberRejectedError as error:
            self.traffic.rejected += 1
            self.log.info("subscriber rejected", subscriber=name, reason=str(error))
            connection.close()

    def _drop_subscription(self, name, now):
        if name not in self.by_name:
            self.feed.unsubscribe(name)
