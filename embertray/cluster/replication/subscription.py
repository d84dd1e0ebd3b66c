"""What a replica knows of one of its subscribers."""

from collections import deque
from dataclasses import dataclass, field

from .token_bucket import TokenBucket

MAX_BACKOFF_DOUBLINGS = 8


@dataclass
class Subscription:
    """One subscriber's state at its replica.

    Attributes:
        name: of the subscriber.
        bucket: the bytes that it may be sent.
        confirmed: revision up to which it has applied everything.
        heard_at: ns of its last message.
        heartbeat_at: ns when the next heartbeat is due.
        in_flight: revision that the update under way leads to; None if there is none.
        retry_at: ns when that update is given up.
        failures: updates in a row that were not confirmed in time.
        stamp: the newest time of its own clock that it sent, ns.
        repairs: buckets whose inventory it is owed.
        bytes_sent: in total, frames included.
        wake_at: ns when it is looked at next without an event.
    """

    name: str
    bucket: TokenBucket
    confirmed: int
    heard_at: int
    heartbeat_at: int
    in_flight: int | None = None
    retry_at: int = 0
    failures: int = 0
    stamp: int = 0
    repairs: deque = field(default_factory=deque)
    bytes_sent: int = 0
    wake_at: int = 0

    def subscribed(self, now, message):
        """Starts anew with a Subscribe received at `now` (ns)."""
        self.confirmed = message.revision
        self.heard_at = now
        self.in_flight = None
        self.failures = 0
        self.stamp = message.stamp
        self.bucket.limit(now, message.allowance)

    def confirm(self, now, message):
        """Takes a Confirm received at `now` (ns)."""
        self.heard_at = now
        self.confirmed = max(self.confirmed, message.revision)
        self.stamp = max(self.stamp, message.stamp)
        if self.in_flight is not None and self.confirmed >= self.in_flight:
            self.in_flight = None
            self.failures = 0

    def update_sent(self, now, upto, settings):
        """An update that leads to the revision `upto` is under way; each failure doubles its timeout."""
        doublings = min(self.failures, MAX_BACKOFF_DOUBLINGS)
        self.in_flight = upto
        self.retry_at = now + min(settings.retry_first << doublings, settings.retry_most)

    def expire_update(self, now):
        """Gives up an update that was not confirmed in time. Returns whether there was one."""
        if self.in_flight is None or now < self.retry_at:
            return False
        self.in_flight = None
        self.failures += 1
        return True
