"""Round-robin selection of members, reshuffled for each round."""


class ShuffledRoundRobin:
    """Selects members in round-robin order, in a new random order for each round.

    Each member is selected once per round, so two selections of a member are less than two rounds apart.
    Independent random draws would spread the load equally well, but without a bound on the wait.
    """

    def __init__(self, rng):
        """Start with an empty round.

        Args:
            rng: A seeded random.Random.
        """
        self.rng = rng
        self.remaining = []

    def next_name(self, names):
        """Return the next member, starting a new round if the current one is finished.

        Args:
            names: Names of the members that may be selected.

        Returns:
            One of `names`, or None if there are none.
        """
        present = set(names)
        while self.remaining:
            if (name := self.remaining.pop()) in present:
                return name
        self.remaining = sorted(present)
        self.rng.shuffle(self.remaining)
        return self.remaining.pop() if self.remaining else None

    def add(self, name):
        """Insert a new member at a random place of the current round.

        Args:
            name: Name of the member.
        """
        self.remaining.insert(self.rng.randrange(len(self.remaining) + 1), name)
