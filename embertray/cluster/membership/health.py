"""Local health (Lifeguard): how far a member's own probe results can be trusted."""


class LocalHealth:
    """Extends this member's timeouts while it seems to be slow itself.

    Each sign that this member is slow raises the score, each probe that is answered in time lowers it by one;
    timeouts are multiplied by the score plus one. A slow member does not process acknowledgements in time
    and would otherwise declare healthy members dead.

    Attributes:
        score: From 0 (healthy) to `max_score`.
    """

    def __init__(self, max_score):
        """Start with score 0.

        Args:
            max_score: Maximum of the score.
        """
        self.max_score = max_score
        self.score = 0

    def improve(self):
        """Lower the score by one: a probe was answered in time."""
        self.score = max(0, self.score - 1)

    def degrade(self, amount=1):
        """Raise the score, after a failed probe, a missing Nack, a refuted suspicion or a pause.

        Args:
            amount: By how much.
        """
        self.score = min(self.max_score, self.score + amount)

    def scale_timeout(self, timeout):
        """Return a timeout multiplied by the score plus one, ns.

        Args:
            timeout: The timeout of a healthy member, ns.
        """
        return timeout * (self.score + 1)
