"""Local health (Lifeguard): how far this member trusts its own judgement of others."""


class LocalHealth:
    """Stretches this member's timeouts while it seems to be slow itself.

    Rule: each sign that this member is slow adds a step, each probe that is answered in time takes one off;
    timeouts are stretched by the steps plus one.
    Reason: a member that is slow itself sees no answers in time, and would take healthy members for dead.

    Attributes:
        score: From 0 to the most steps.
    """

    def __init__(self, max_score):
        """Begin healthy.

        Args:
            max_score: The most steps.
        """
        self.max_score = max_score
        self.score = 0

    def improve(self):
        """Take one step off: a probe was answered in time."""
        self.score = max(0, self.score - 1)

    def degrade(self, amount=1):
        """Add steps: a probe failed, a helper did not send its Nack, or a suspicion had to be refuted.

        Args:
            amount: How many.
        """
        self.score = min(self.max_score, self.score + amount)

    def scale_timeout(self, timeout):
        """Return a timeout as it is to be used now.

        Args:
            timeout: The timeout of a healthy member, ns.
        """
        return timeout * (self.score + 1)
