"""Rate limit of the state exchange, in bytes per second."""

SECOND_NS = 10**9


class TokenBucket:
    """A token bucket that holds at most the tokens of one second.

    An exchange may start while there are tokens and takes as many as it needs; the count may become negative.
    Probes are not limited: they are small, and bounded by their period.

    Attributes:
        deferred: Number of exchanges that were deferred to a later round.
    """

    def __init__(self, rate, now):
        """Start with a full bucket.

        Args:
            rate: Bytes per second.
            now: The time, ns.
        """
        self.rate = rate
        self.tokens = float(rate)
        self.filled_at = now
        self.deferred = 0

    def allows(self, now):
        """Return whether an exchange may start; count it as deferred if not.

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
        """Take the tokens for data that is sent.

        Args:
            size: Its size, bytes.
        """
        self.tokens -= size
