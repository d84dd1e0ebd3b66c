"""Inbound connections of subscribers."""

from functools import partial

from embertray.cluster.replication.codec import decode_from_subscriber
from embertray.cluster.replication.exceptions import ConnectionRejectedError, SubscriberRejectedError
from embertray.cluster.replication.messages import Subscribe

from .connection import MAX_FRAME_FROM_SUBSCRIBER_BYTES
from .inbound_connections import InboundConnections


class InboundSubscribers(InboundConnections):
    """Hands the messages of subscribers to the replica's feed.

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
        """The subscriber's name. Raises ConnectionRejectedError if it does not subscribe."""
        if not isinstance(message, Subscribe):
            raise ConnectionRejectedError("it has to subscribe first")
        return message.subscriber

    async def deliver(self, name, connection, messages):
        """Returns once the feed has handled the messages."""
        await self.events.submit_and_wait(partial(self._receive, name, connection, messages))

    def on_disconnected(self, name):
        """Ends the subscription, unless the subscriber has connected anew."""
        self.events.submit(partial(self._drop_subscription, name))

    def _receive(self, name, connection, messages, now):
        if self.by_name.get(name) is not connection:
            return  # a newer connection of that name has replaced it
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
