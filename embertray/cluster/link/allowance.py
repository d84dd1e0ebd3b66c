"""Bytes a second that a member may spend on state; probes are small and bounded by their period, they only
count.
"""

S = 10**9


class Allowance:
    """`rate` bytes a second, as much at once as a second gives."""

    def __init__(self, rate, now):
        self.rate, self.left, self.at, self.spent, self.held_back = rate, float(rate), now, 0, 0

    def may(self, now):
        """Whether an exchange may begin; one that may not is counted."""
        self.left = min(self.rate, self.left + (now - self.at) * self.rate / S)
        self.at = now
        self.held_back += self.left <= 0
        return self.left > 0

    def spend(self, size):
        self.left -= size
        self.spent += size
