"""How far this member trusts its own judgement (Lifeguard's local health): one that is slow itself blames
others.
"""


class LocalHealth:
    """`steps`: from 0 to `worst`. Times are stretched by steps + 1."""

    def __init__(self, worst):
        self.max_steps, self.steps = worst, 0

    def improve(self):
        """A probe was answered in time."""
        self.steps = max(0, self.steps - 1)

    def degrade(self, by=1):
        """A probe failed, a helper did not even say no, or we had to deny a suspicion."""
        self.steps = min(self.max_steps, self.steps + by)

    def stretch(self, span):
        return span * (self.steps + 1)
