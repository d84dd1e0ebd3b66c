"""A token bucket: bytes that may be sent, refilled at a rate."""

S = 10**9


class TokenBucket:
    """Over any span of t seconds at most `capacity + rate * t` bytes are spent, unless one message alone is
    larger than the capacity: it goes when the bucket is full, and the bucket owes the rest."""

    def __init__(self, rate, capacity, now):
        self.rate, self.capacity = rate, capacity
        self.tokens, self.refilled_at = float(capacity), now

    def available(self, now):
        """Bytes that may be spent now."""
        if now > self.refilled_at:
            refilled = self.tokens + (now - self.refilled_at) * self.rate / S
            self.tokens, self.refilled_at = min(float(self.capacity), refilled), now
        return self.tokens

    def allows(self, now, size):
        """Whether a message of `size` bytes may go now."""
        return self.available(now) >= min(size, self.capacity)

    def spend(self, size):
        """Takes the bytes of a message that went."""
        self.tokens -= size

    def limit(self, now, tokens):
        """At most `tokens` bytes may be spent now."""
        self.tokens = min(self.available(now), float(tokens))

    def ready_at(self, now, size):
        """ns when a message of `size` bytes may go."""
        lacking = min(size, self.capacity) - self.available(now)
        return now if lacking <= 0 else now + int(lacking * S / self.rate) + 1
