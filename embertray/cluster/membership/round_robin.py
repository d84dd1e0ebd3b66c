"""Turns: every member once in each round, in an order that is drawn anew for each round."""


class ShuffledRoundRobin:
    """Takes members in turns, in a random order.

    Rule: a member has its turn once in a round, so two of its turns are less than two rounds apart.
    Reason: independent draws would spread the load alike, but leave no bound on how long one waits.
    """

    def __init__(self, rng):
        """Begin with an empty round.

        Args:
            rng: A seeded random.Random.
        """
        self.rng = rng
        self.remaining = []

    def next_name(self, names):
        """Return whose turn it is.

        Args:
            names: Members that may have a turn.

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
        """Give a member that is new a turn within the current round.

        Args:
            name: The member.
        """
        self.remaining.insert(self.rng.randrange(len(self.remaining) + 1), name)
