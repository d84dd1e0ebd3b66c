"""What a replica sends to its subscribers: updates within a byte budget, heartbeats, and repairs.

Nothing is queued for a subscriber but the revision that it confirmed: an update is made when it may go, of
the newest entries written since, so what waits is deduplicated by key. One update is under way at a time; one
that is not confirmed goes again with backoff.
"""

from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush

from .freshness import AGE_UNKNOWN
from .messages import VERSION, Confirm, Heartbeat, Inventory, Repair, Subscribe, Update, encode
from .timing import FeedSettings
from .token_bucket import TokenBucket

FRAME_BYTES = 4  # of a frame's length
UPDATE_BYTES = 24  # an update's own numbers, at the most
BUDGET_WAIT = 50 * 10**6  # ns between two looks at a subscriber that waits for budget


class SubscriberRejected(Exception):
    """A subscriber that is not served, and why."""


@dataclass(frozen=True)
class Outgoing:
    """An encoded message for one subscriber."""

    subscriber: str
    data: bytes


@dataclass
class Subscription:
    """One subscriber's state at its replica. `sent`: revision that the update under way leads to, or None."""

    name: str
    bucket: TokenBucket
    confirmed: int
    heard_at: int
    heartbeat_at: int
    sent: int | None = None
    retry_at: int = 0
    failures: int = 0
    stamp: int = 0  # newest time of its clock that it told
    repairs: deque = field(default_factory=deque)  # buckets whose inventory it is owed
    bytes_sent: int = 0
    wake_at: int = 0  # ns when it is looked at next without a cause


class SubscriberFeed:
    """All subscribers of one replica. `store`: gives the replica's VersionedStore, which may be replaced."""

    def __init__(self, cluster, store, now, pace=None):
        self.cluster, self.store, self.pace = cluster, store, pace or FeedSettings()
        self.subscriptions = {}
        total = self.pace.total_bytes_per_second
        self.total = TokenBucket(total, total, now)
        self.touched = {}  # names of subscribers that something changed for, in the order it did
        self.wakes = []  # heap of (ns, name)
        self.seen_revision = 0
        self.retries = self.silent = 0

    # ---- what is asked of it

    @property
    def lowest_confirmed(self):
        """The revision that all subscribers hold; the store's own if there are none."""
        confirmed = (one.confirmed for one in self.subscriptions.values())
        return min(confirmed, default=self.store().revision)

    @property
    def count(self):
        """Subscribers that are served."""
        return len(self.subscriptions)

    def next_at(self, now):
        """ns by which `advance` has to be called."""
        if self.touched or self.seen_revision != self.store().revision:
            return now
        return self.wakes[0][0] if self.wakes else now + self.pace.heartbeat

    # ---- what comes

    def receive(self, now, name, message):
        """Takes what the subscriber `name` says on its connection. Raises SubscriberRejected."""
        one = self.subscriptions.get(name)
        self.touched[name] = True
        if isinstance(message, Subscribe):
            self._subscribe(now, name, message)
        elif one is None:
            raise SubscriberRejected("it has to subscribe first")
        elif isinstance(message, Confirm):
            self._confirm(now, one, message)
        elif isinstance(message, Repair):
            self._repair(now, one, message)

    def unsubscribe(self, name):
        """A subscriber's connection ended."""
        self.subscriptions.pop(name, None)

    def _subscribe(self, now, name, message):
        if message.cluster != self.cluster:
            raise SubscriberRejected(f"it is of cluster {message.cluster}, this is {self.cluster}")
        if message.version != VERSION:
            raise SubscriberRejected(f"it speaks version {message.version}, this is {VERSION}")
        if name != message.subscriber:
            raise SubscriberRejected("its name changed")
        one = self.subscriptions.get(name)
        if one is None:
            bucket = TokenBucket(self.pace.sustained, self.pace.burst, now)
            one = self.subscriptions[name] = Subscription(name, bucket, message.revision, now, now)
        one.confirmed, one.heard_at, one.sent, one.failures = message.revision, now, None, 0
        one.stamp = message.stamp
        one.bucket.limit(now, message.allowance)

    def _confirm(self, now, one, message):
        one.heard_at = now
        one.confirmed = max(one.confirmed, message.revision)
        one.stamp = max(one.stamp, message.stamp)
        if one.sent is not None and one.confirmed >= one.sent:
            one.sent, one.failures = None, 0

    def _repair(self, now, one, message):
        one.heard_at = now
        ours = self.store().digests
        if len(message.digests) != len(ours):
            raise SubscriberRejected(f"{len(ours)} digests are expected")
        if not one.repairs:
            differing = (n for n, digest in enumerate(ours) if digest != message.digests[n])
            one.repairs.extend(differing)

    # ---- what goes

    def advance(self, now, age):
        """(messages to send, names of silent subscribers that are dropped). `age`: the replica's, ns."""
        out, silent = [], []
        for name in self._due(now):
            one = self.subscriptions.get(name)
            if one is None:
                continue
            if now - one.heard_at > self.pace.silence:
                silent.append(name)
                continue
            self._serve(now, one, age, out)
            self._plan(now, one)
        for name in silent:
            self.unsubscribe(name)
        self.silent += len(silent)
        return out, silent

    def _due(self, now):
        """Names of those to look at: all when the state has changed, else whom something came from or whose
        time it is."""
        if self.seen_revision != self.store().revision:
            self.seen_revision = self.store().revision
            self.touched.update(dict.fromkeys(self.subscriptions, True))
        while self.wakes and self.wakes[0][0] <= now:
            when, name = heappop(self.wakes)
            one = self.subscriptions.get(name)
            if one is not None and one.wake_at == when:
                self.touched[name] = True
        names, self.touched = list(self.touched), {}
        return names

    def _plan(self, now, one):
        """When it is looked at next without a cause."""
        times = [one.heartbeat_at]
        if one.sent is not None:
            times.append(one.retry_at)
        elif self._lacks(one) or one.repairs:
            times.append(now + BUDGET_WAIT)
        when = min(times)
        if when != one.wake_at:
            one.wake_at = when
            heappush(self.wakes, (when, one.name))

    def _serve(self, now, one, age, out):
        if now >= one.heartbeat_at:
            one.heartbeat_at = now + self.pace.heartbeat
            store = self.store()
            told_age = AGE_UNKNOWN if age is None else min(age, AGE_UNKNOWN)
            heartbeat = Heartbeat(store.revision, store.digest, told_age, one.stamp)
            self._send(now, one, encode(heartbeat), out)
        if one.sent is not None and now >= one.retry_at:
            one.sent = None
            one.failures += 1
            self.retries += 1
        if one.sent is None and self._lacks(one):
            self._send_update(now, one, out)
        elif one.sent is None and one.repairs:
            self._send_inventory(now, one, out)

    def _lacks(self, one):
        return one.confirmed < self.store().revision

    def _send_update(self, now, one, out):
        """As much as the budget allows, unless that is less than a chunk and more waits."""
        room = min(one.bucket.available(now), self.total.available(now)) - FRAME_BYTES - UPDATE_BYTES
        store = self.store()
        entries, size, complete = [], 0, True
        for entry in store.since(one.confirmed):
            if size + entry.size > room:
                complete = False
                break
            entries.append(entry)
            size += entry.size
        if not complete and size < self.pace.chunk and not self._is_large(store, one, room):
            return
        if not complete and not entries:
            return
        upto = store.revision if complete else entries[-1].revision
        one.sent = upto
        one.retry_at = now + min(self.pace.retry_first << min(one.failures, 8), self.pace.retry_most)
        self._send(now, one, encode(Update(one.confirmed, upto, entries)), out)

    def _is_large(self, store, one, room):
        """Whether the first entry that did not fit is larger than a chunk: what fits goes before it."""
        skipped = 0
        for entry in store.since(one.confirmed):
            if skipped + entry.size > room:
                return entry.size > self.pace.chunk and skipped > 0
            skipped += entry.size
        return False

    def _send_inventory(self, now, one, out):
        store, bucket = self.store(), one.repairs[0]
        data = encode(Inventory(bucket, store.revision, store.inventory(bucket)))
        if one.bucket.allows(now, len(data)) and self.total.allows(now, len(data)):
            one.repairs.popleft()
            self._send(now, one, data, out)

    def _send(self, now, one, data, out):
        size = len(data) + FRAME_BYTES
        for bucket in (one.bucket, self.total):
            bucket.available(now)
            bucket.spend(size)
        one.bytes_sent += size
        out.append(Outgoing(one.name, data))
