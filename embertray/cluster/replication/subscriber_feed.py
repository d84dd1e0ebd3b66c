"""What a replica sends to its subscribers: updates within a byte budget, heartbeats, and repairs.

Nothing is queued for a subscriber but the revision that it confirmed: an update is made when it may be sent,
of the newest entries written since, so what waits is deduplicated by key. One update is in flight at a time;
one that is not confirmed is sent again with backoff.

A subscriber that returns with much to catch up gets what was written since then in turn with what it missed:
a write that is in force everywhere else does not wait for another one's history.
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

FRAME_HEADER_BYTES = 4  # of a frame's length
UPDATE_HEADER_BYTES = 24  # an update's own numbers, at the most
BUDGET_POLL_NS = 50 * MILLISECOND  # ns between two looks at a subscriber that waits for budget


class SubscriberFeed:
    """All subscribers of one replica.

    Args:
        cluster: name of the cluster.
        store: returns the replica's VersionedStore, which may be replaced.
        now: ns.
        settings: a FeedSettings, None for the default.

    Attributes:
        subscriptions: name -> Subscription.
        retries: updates that were not confirmed in time.
        silent: subscribers that were dropped as they said nothing.
    """

    def __init__(self, cluster, store, now, settings=None):
        self.cluster = cluster
        self.store = store
        self.settings = settings or FeedSettings()
        self.subscriptions = {}
        total = self.settings.total_bytes_per_second
        self.total_bucket = TokenBucket(total, total, now)
        self.schedule = FeedSchedule()
        self.seen_revision = 0  # of the store, when subscribers were last looked at
        self.retries = 0
        self.silent = 0

    # ---- queries

    @property
    def lowest_confirmed(self):
        """The revision that all subscribers have confirmed; the store's own if there are none."""
        confirmed = (subscription.confirmed for subscription in self.subscriptions.values())
        return min(confirmed, default=self.store().revision)

    @property
    def count(self):
        """Number of subscribers."""
        return len(self.subscriptions)

    def next_at(self, now):
        """Time in ns by which `advance` has to be called."""
        if self.schedule.touched or self.seen_revision != self.store().revision:
            return now
        return self.schedule.next_at(now + self.settings.heartbeat_interval)

    # ---- received

    def receive(self, now, name, message):
        """Handles a message of a subscriber.

        Args:
            now: ns.
            name: of the subscriber, by its connection.
            message: a Subscribe, Confirm or Repair.

        Raises:
            SubscriberRejectedError: its connection is to be closed.
        """
        subscription = self.subscriptions.get(name)
        self.schedule.touch([name])
        if isinstance(message, Subscribe):
            self._subscribe(now, name, message)
        elif subscription is None:
            raise SubscriberRejectedError("it has to subscribe first")
        elif isinstance(message, Confirm):
            subscription.confirm(now, message)
        elif isinstance(message, Repair):
            self._repair(now, subscription, message)

    def unsubscribe(self, name):
        """A subscriber's connection ended."""
        self.subscriptions.pop(name, None)

    def _subscribe(self, now, name, message):
        if message.cluster != self.cluster:
            raise SubscriberRejectedError(f"it is of cluster {message.cluster}, this is {self.cluster}")
        if message.version != VERSION:
            raise SubscriberRejectedError(f"it speaks version {message.version}, this is {VERSION}")
        if name != message.subscriber:
            raise SubscriberRejectedError("its name changed")
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
            raise SubscriberRejectedError(f"{len(digests)} digests are expected")
        if not subscription.repairs:
            differing = (bucket for bucket, own in enumerate(digests) if own != message.digests[bucket])
            subscription.repairs.extend(differing)

    # ---- sent

    def advance(self, now, age):
        """Does what is due.

        Args:
            now: ns.
            age: of the replica's state, ns; None if it is not known.

        Returns:
            FeedInstructions.
        """
        out = FeedInstructions([], [])
        for name in self._due(now):
            subscription = self.subscriptions.get(name)
            if subscription is None:
                continue
            if now - subscription.last_received_at > self.settings.silence_timeout:
                out.silent.append(name)
                continue
            self._serve(now, subscription, age, out.messages)
            self._schedule_next(now, subscription)
        for name in out.silent:
            self.unsubscribe(name)
        self.silent += len(out.silent)
        return out

    def _due(self, now):
        """Names to look at: all if the state has changed, else those with an event or whose time it is."""
        if self.seen_revision != self.store().revision:
            self.seen_revision = self.store().revision
            self.schedule.touch(self.subscriptions)
        return self.schedule.due(now, self.subscriptions)

    def _schedule_next(self, now, subscription):
        times = [subscription.heartbeat_at]
        if subscription.in_flight is not None:
            times.append(subscription.retry_at)
        elif self._lacks_entries(subscription) or subscription.repairs:
            times.append(now + BUDGET_POLL_NS)
        self.schedule.wake(subscription, min(times))

    def _serve(self, now, subscription, age, out):
        if now >= subscription.heartbeat_at:
            self._send_heartbeat(now, subscription, age, out)
        if subscription.expire_update(now):
            self.retries += 1
        if subscription.in_flight is not None:
            return
        if self._lacks_entries(subscription):
            self._send_update(now, subscription, out)
        elif subscription.repairs:
            self._send_inventory(now, subscription, out)

    def _lacks_entries(self, subscription):
        return subscription.confirmed < self.store().revision

    def _send_heartbeat(self, now, subscription, age, out):
        subscription.heartbeat_at = now + self.settings.heartbeat_interval
        store = self.store()
        advertised_age = AGE_UNKNOWN if age is None else min(age, AGE_UNKNOWN)
        heartbeat = Heartbeat(store.revision, store.digest, advertised_age, subscription.stamp)
        self._send(now, subscription, encode(heartbeat), out)

    def _send_update(self, now, subscription, out):
        recent_first = subscription.catching_up and subscription.recent_is_next
        if not (recent_first and self._send_recent(now, subscription, out)):
            self._send_missing(now, subscription, out)

    def _send_recent(self, now, subscription, out):
        """Sends what was written since it subscribed, before all that it missed. Returns whether any went."""
        update = pack_recent(self.store(), subscription, self._available_bytes(now, subscription))
        if update is None:
            return False
        subscription.recent_update_sent(now, update.entries[-1].revision, self.settings)
        self._send(now, subscription, encode(update), out)
        return True

    def _send_missing(self, now, subscription, out):
        """Sends as much as the budget allows, unless that is less than a chunk and more waits."""
        room = self._available_bytes(now, subscription)
        update = pack_missing(self.store(), subscription, room, self.settings.min_update_bytes)
        if update is not None:
            subscription.update_sent(now, update.upto, self.settings)
            self._send(now, subscription, encode(update), out)

    def _available_bytes(self, now, subscription):
        """Bytes of entries that an update may have now."""
        available = min(subscription.bucket.available(now), self.total_bucket.available(now))
        return available - FRAME_HEADER_BYTES - UPDATE_HEADER_BYTES

    def _send_inventory(self, now, subscription, out):
        store = self.store()
        bucket = subscription.repairs[0]
        data = encode(Inventory(bucket, store.revision, store.inventory(bucket)))
        if subscription.bucket.allows(now, len(data)) and self.total_bucket.allows(now, len(data)):
            subscription.repairs.popleft()
            self._send(now, subscription, data, out)

    def _send(self, now, subscription, data, out):
        size = len(data) + FRAME_HEADER_BYTES
        for bucket in (subscription.bucket, self.total_bucket):
            bucket.available(now)
            bucket.spend(size)
        subscription.bytes_sent += size
        out.append(SubscriberMessage(subscription.name, data))
