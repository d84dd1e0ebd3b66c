"""A token bucket: bytes that may be sent, refilled at a rate."""

NS_PER_S = 10**9


class TokenBucket:
    """Limits a sender: over any t seconds at most `capacity + rate * t` bytes are spent.

    A message larger than the capacity goes when the bucket is full, and the bucket owes the rest.

    Args:
        rate: bytes a second.
        capacity: bytes; the bucket starts full.
        now: ns.
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
        """Takes the bytes of a message that was sent."""
        self.tokens -= size

    def limit(self, now, tokens):
        """Lowers what may be spent at `now` (ns) to `tokens` bytes."""
        self.tokens = min(self.available(now), float(tokens))

    def ready_at(self, now, size):
        """Time in ns when a message of `size` bytes may be sent, as seen at `now` (ns)."""
        lacking = min(size, self.capacity) - self.available(now)
        return now if lacking <= 0 else now + int(lacking * NS_PER_S / self.rate) + 1
