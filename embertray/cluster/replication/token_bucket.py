"""Token bucket that limits the bytes sent."""

NS_PER_S = 10**9


class TokenBucket:
    """Limits a sender to `capacity + rate * t` bytes within any t seconds.

    A message larger than the capacity may be sent when the bucket is full, and leaves a negative balance.

    Args:
        rate: refill rate, bytes per second.
        capacity: bytes; the bucket starts full.
        now: current time, ns.
    """

    def __init__(self, rate, capacity, now):
        self.rate = rate
        self.capacity = capacity
        self.tokens = float(capacity)
        self.refilled_at = now

    def available(self, now):
        """Bytes that may be spent at `now` (ns)."""
        if now > self.refilled_at:
            refilled = self.tokens + (now - self.refilled_at) * self.rate / NS_PER_S
            self.tokens = min(float(self.capacity), refilled)
            self.refilled_at = now
        return self.tokens

    def allows(self, now, size):
        """Whether a message of `size` bytes may be sent at `now` (ns)."""
        return self.available(now) >= min(size, self.capacity)

    def spend(self, size):
        """Deducts the bytes of a message that was sent."""
        self.tokens -= size

    def limit(self, now, tokens):
        """Limits the bytes that may be spent at `now` (ns) to at most `tokens`."""
        self.tokens = min(self.available(now), float(tokens))

    def ready_at(self, now, size):
        """Earliest time in ns at which a message of `size` bytes may be sent, computed at `now` (ns)."""
        lacking = min(size, self.capacity) - self.available(now)
        return now if lacking <= 0 else now + int(lacking * NS_PER_S / self.rate) + 1
