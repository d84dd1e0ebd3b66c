"""The bytes a second that a member may spend on the exchange of entries."""

SECOND_NS = 10**9


class TokenBucket:
    """A token bucket whose burst is what a second gives.

    Rule: an exchange may begin while there are tokens, and takes what it needs, also below zero. Probes are
    not put off: they are small, and bounded by their period.

    Attributes:
        deferred: How many exchanges were put off to a later turn.
    """

    def __init__(self, rate, now):
        """Begin full.

        Args:
            rate: Bytes a second.
            now: The time, ns.
        """
        self.rate = rate
        self.tokens = float(rate)
        self.filled_at = now
        self.deferred = 0

    def allows(self, now):
        """Return whether an exchange may begin; one that may not is counted.

        Args:
            now: The time, ns.
        """
        self.tokens = min(self.rate, self.tokens + (now - self.filled_at) * self.rate / SECOND_NS)
        self.filled_at = now
        if self.tokens > 0:
            return True
        self.deferred += 1
        return False

    def take(self, size):
        """Take the tokens for bytes that are sent.

        Args:
            size: The bytes.
        """
        self.tokens -= size
