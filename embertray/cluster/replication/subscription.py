"""State that a replica keeps for each of its subscribers."""

from collections import deque
from dataclasses import dataclass, field

from .token_bucket import TokenBucket

MAX_BACKOFF_DOUBLINGS = 8


@dataclass
class Subscription:
    """One subscriber's state at its replica.

    Attributes:
        name: name of the subscriber.
        token_bucket: TokenBucket of the bytes that may be sent to it.
        confirmed: revision up to which it has applied everything.
        catch_up_revision: the replica's revision when it subscribed; it catches up until that is confirmed.
        recent_sent: newest revision sent to it ahead of the entries that it missed.
        recent_is_next: whether the next update carries recent entries rather than missed ones.
        last_received_at: ns of its last message.
        heartbeat_at: ns when the next heartbeat is due.
        in_flight: revision reached by the update in flight; None if there is none.
        retry_at: ns when that update is given up.
        failures: number of consecutive updates that were not confirmed in time.
        stamp: the newest stamp received from it, ns of its clock.
        repairs: digest buckets whose inventory has to be sent to it.
        bytes_sent: total bytes sent, including frame headers.
        timer_at: ns when it is served next if no event occurs.
    """

    name: str
    token_bucket: TokenBucket
    confirmed: int
    last_received_at: int
    heartbeat_at: int
    catch_up_revision: int = 0
    recent_sent: int = 0
    recent_is_next: bool = True
    in_flight: int | None = None
    retry_at: int = 0
    failures: int = 0
    stamp: int = 0
    repairs: deque = field(default_factory=deque)
    bytes_sent: int = 0
    timer_at: int = 0

    @property
    def catching_up(self):
        """Whether it still lacks entries written before it subscribed."""
        return self.confirmed < self.catch_up_revision

    def restart(self, now, message, revision):
        """Restarts from a Subscribe received at `now` (ns), while the replica is at `revision`."""
        self.confirmed = message.revision
        self.catch_up_revision = revision
        self.recent_sent = revision
        self.recent_is_next = True
        self.last_received_at = now
        self.in_flight = None
        self.failures = 0
        self.stamp = message.stamp
        self.token_bucket.limit(now, message.allowance)

    def confirm(self, now, message):
        """Handles a Confirm received at `now` (ns)."""
        self.last_received_at = now
        self.confirmed = max(self.confirmed, message.revision)
        self.stamp = max(self.stamp, message.stamp)
        if self.in_flight is not None and self.confirmed >= self.in_flight:
            self.in_flight = None
            self.failures = 0

    def update_sent(self, now, upto, settings):
        """Records that an update to revision `upto` was sent; each failure doubles its timeout."""
        doublings = min(self.failures, MAX_BACKOFF_DOUBLINGS)
        self.in_flight = upto
        self.recent_is_next = True
        self.retry_at = now + min(settings.initial_retry_delay << doublings, settings.max_retry_delay)

    def recent_update_sent(self, now, newest, settings):
        """Records that recent entries up to revision `newest` were sent; missed entries are sent next.

        They are not retried on their own: catching up sends them once more in any case.
        """
        self.update_sent(now, self.confirmed, settings)
        self.recent_sent = newest
        self.recent_is_next = False

    def expire_update(self, now):
        """Gives up an update that was not confirmed in time. Returns whether there was one."""
        if self.in_flight is None or now < self.retry_at:
            return False
        self.in_flight = None
        self.failures += 1
        return True
