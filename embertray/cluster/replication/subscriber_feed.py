"""What a replica sends to its subscribers: updates within a byte budget, heartbeats, and repairs.

No messages are queued for a subscriber. An update is built when the budget allows it to be sent, from the
newest entries after the revision that the subscriber confirmed, so pending entries are deduplicated by key.
One update is in flight at a time; an unconfirmed one is sent again with backoff.

A returning subscriber that has to catch up gets recent writes in turn with the entries that it missed, so
that a new write does not wait until the whole backlog is sent.
"""

from .codec import encode
from .exceptions import SubscriberRejectedError
from .feed_schedule import FeedSchedule
from .freshness import AGE_UNKNOWN
from .instructions import FeedInstructions, SubscriberMessage
from .messages import VERSION, Confirm, Heartbeat, Inventory, Repair, Subscribe
from .subscription import Subscription
from .timing import MILLISECOND, FeedSettings
from .token_bucket import TokenBucket
from .update_packing import pack_missing, pack_recent

FRAME_HEADER_BYTES = 4  # length prefix of a frame
UPDATE_HEADER_BYTES = 24  # upper bound for an Update without its entries
BUDGET_POLL_NS = 50 * MILLISECOND  # interval at which a subscriber that waits for budget is checked


class SubscriberFeed:
    """The state machine that serves all subscribers of one replica.

    Args:
        cluster: name of the cluster.
        store: callable that returns the replica's VersionedStore, which may be replaced.
        now: current time, ns.
        settings: a FeedSettings, None for the default.

    Attributes:
        subscriptions: name -> Subscription.
        retries: number of updates that were not confirmed in time.
        silent_drops: number of subscribers dropped because they sent nothing.
    """

    def __init__(self, cluster, store, now, settings=None):
        self.cluster = cluster
        self.store = store
        self.settings = settings or FeedSettings()
        self.subscriptions = {}
        total = self.settings.total_bytes_per_second
        self.total_bucket = TokenBucket(total, total, now)
        self.schedule = FeedSchedule()
        self.seen_revision = 0  # the store's revision when subscribers were last served
        self.retries = 0
        self.silent_drops = 0

    # ---- queries

    @property
    def lowest_confirmed(self):
        """The highest revision that all subscribers have confirmed; the store's own if there are none."""
        confirmed = (subscription.confirmed for subscription in self.subscriptions.values())
        return min(confirmed, default=self.store().revision)

    @property
    def count(self):
        """Number of subscribers."""
        return len(self.subscriptions)

    def next_at(self, now):
        """Time in ns by which `advance` has to be called."""
        if self.schedule.pending or self.seen_revision != self.store().revision:
            return now
        return self.schedule.next_at(now + self.settings.heartbeat_interval)

    # ---- received

    def receive(self, now, name, message):
        """Handles a message from a subscriber.

        Args:
            now: current time, ns.
            name: name of the subscriber that the connection belongs to.
            message: a Subscribe, Confirm or Repair.

        Raises:
            SubscriberRejectedError: the connection has to be closed.
        """
        subscription = self.subscriptions.get(name)
        self.schedule.mark_pending([name])
        if isinstance(message, Subscribe):
            self._subscribe(now, name, message)
        elif subscription is None:
            raise SubscriberRejectedError("the first message must be a Subscribe")
        elif isinstance(message, Confirm):
            subscription.confirm(now, message)
        elif isinstance(message, Repair):
            self._repair(now, subscription, message)

    def unsubscribe(self, name):
        """Drops the subscription of a subscriber whose connection ended."""
        self.subscriptions.pop(name, None)

    def _subscribe(self, now, name, message):
        if message.cluster != self.cluster:
            raise SubscriberRejectedError(f"cluster is {message.cluster}, expected {self.cluster}")
        if message.version != VERSION:
            raise SubscriberRejectedError(f"protocol version is {message.version}, expected {VERSION}")
        if name != message.subscriber:
            raise SubscriberRejectedError("the subscriber's name changed within the connection")
        subscription = self.subscriptions.get(name)
        if subscription is None:
            bucket = TokenBucket(self.settings.sustained_bytes_per_second, self.settings.burst_bytes, now)
            subscription = Subscription(name, bucket, message.revision, now, now)
            self.subscriptions[name] = subscription
        subscription.restart(now, message, self.store().revision)

    def _repair(self, now, subscription, message):
        subscription.last_received_at = now
        digests = self.store().digests
        if len(message.digests) != len(digests):
            raise SubscriberRejectedError(f"expected {len(digests)} digests")
        if not subscription.repairs:
            differing = (bucket for bucket, own in enumerate(digests) if own != message.digests[bucket])
            subscription.repairs.extend(differing)

    # ---- sent

    def advance(self, now, age):
        """Serves all subscribers that are due, and drops silent ones.

        Args:
            now: current time, ns.
            age: age of the replica's state, ns; None if it is not known.

        Returns:
            FeedInstructions.
        """
        instructions = FeedInstructions([], [])
        for name in self._due(now):
            subscription = self.subscriptions.get(name)
            if subscription is None:
                continue
            if now - subscription.last_received_at > self.settings.silence_timeout:
                instructions.silent.append(name)
                continue
            self._serve(now, subscription, age, instructions.messages)
            self._schedule_next(now, subscription)
        for name in instructions.silent:
            self.unsubscribe(name)
        self.silent_drops += len(instructions.silent)
        return instructions

    def _due(self, now):
        """Names of the subscribers to serve: all if the store has changed, else those that are due."""
        if self.seen_revision != self.store().revision:
            self.seen_revision = self.store().revision
            self.schedule.mark_pending(self.subscriptions)
        return self.schedule.due(now, self.subscriptions)

    def _schedule_next(self, now, subscription):
        times = [subscription.heartbeat_at]
        if subscription.in_flight is not None:
            times.append(subscription.retry_at)
        elif self._lacks_entries(subscription) or subscription.repairs:
            times.append(now + BUDGET_POLL_NS)
        self.schedule.set_timer(subscription, min(times))

    def _serve(self, now, subscription, age, messages):
        if now >= subscription.heartbeat_at:
            self._send_heartbeat(now, subscription, age, messages)
        if subscription.expire_update(now):
            self.retries += 1
        if subscription.in_flight is not None:
            return
        if self._lacks_entries(subscription):
            self._send_update(now, subscription, messages)
        elif subscription.repairs:
            self._send_inventory(now, subscription, messages)

    def _lacks_entries(self, subscription):
        return subscription.confirmed < self.store().revision

    def _send_heartbeat(self, now, subscription, age, messages):
        subscription.heartbeat_at = now + self.settings.heartbeat_interval
        store = self.store()
        advertised_age = AGE_UNKNOWN if age is None else min(age, AGE_UNKNOWN)
        heartbeat = Heartbeat(store.revision, store.digest, advertised_age, subscription.stamp)
        self._send(now, subscription, encode(heartbeat), messages)

    def _send_update(self, now, subscription, messages):
        recent_first = subscription.catching_up and subscription.recent_is_next
        if not (recent_first and self._send_recent(now, subscription, messages)):
            self._send_missing(now, subscription, messages)

    def _send_recent(self, now, subscription, messages):
        """Sends entries written since it subscribed, ahead of those it missed. Returns whether it did."""
        update = pack_recent(self.store(), subscription, self._available_bytes(now, subscription))
        if update is None:
            return False
        subscription.recent_update_sent(now, update.entries[-1].revision, self.settings)
        self._send(now, subscription, encode(update), messages)
        return True

    def _send_missing(self, now, subscription, messages):
        """Sends as many missing entries as the budget allows.

        While more entries wait, it sends nothing below the minimum update; `pack_missing` has the exact rule.
        """
        available_bytes = self._available_bytes(now, subscription)
        update = pack_missing(self.store(), subscription, available_bytes, self.settings.min_update_bytes)
        if update is not None:
            subscription.update_sent(now, update.upto, self.settings)
            self._send(now, subscription, encode(update), messages)

    def _available_bytes(self, now, subscription):
        """Bytes of entries that an update may carry now."""
        available = min(subscription.token_bucket.available(now), self.total_bucket.available(now))
        return available - FRAME_HEADER_BYTES - UPDATE_HEADER_BYTES

    def _send_inventory(self, now, subscription, messages):
        store = self.store()
        bucket = subscription.repairs[0]
        data = encode(Inventory(bucket, store.revision, store.inventory(bucket)))
        if subscription.token_bucket.allows(now, len(data)) and self.total_bucket.allows(now, len(data)):
            subscription.repairs.popleft()
            self._send(now, subscription, data, messages)

    def _send(self, now, subscription, data, messages):
        size = len(data) + FRAME_HEADER_BYTES
        for bucket in (subscription.token_bucket, self.total_bucket):
            bucket.available(now)
            bucket.spend(size)
        subscription.bytes_sent += size
        messages.append(SubscriberMessage(subscription.name, data))
