"""Local health (Lifeguard): how far this member trusts its own judgement of others."""


class LocalHealth:
    """Stretches this member's timeouts while it seems to be slow itself.

    Rule: each sign that this member is slow adds a step, each probe that is answered in time takes one off;
    timeouts are stretched by the steps plus one.
    Reason: a member that is slow itself sees no answers in time, and would take healthy members for dead.

    Attributes:
        steps: From 0 to the most steps.
    """

    def __init__(self, max_steps):
        """Begin healthy.

        Args:
            max_steps: The most steps.
        """
        self.max_steps = max_steps
        self.steps = 0

    def improve(self):
        """Take one step off: a probe was answered in time."""
        self.steps = max(0, self.steps - 1)

    def degrade(self, steps=1):
        """Add steps: a probe failed, a helper did not send its Nack, or a suspicion had to be refuted.

        Args:
            steps: How many.
        """
        self.steps = min(self.max_steps, self.steps + steps)

    def stretch(self, span):
        """Return a timeout as it is to be used now.

        Args:
            span: The timeout of a healthy member, ns.
        """
        return span * (self.steps + 1)
