"""Whom to probe next, and the probes under way."""


class Probe:
    """`asked`: helpers that owe a Nack; `for_`: (member, number) we probe in another's place, or None."""

    __slots__ = ("target", "life", "direct_by", "until", "asked", "helped", "for_")

    def __init__(self, target, life, direct_by, until, for_=None):
        self.target, self.life, self.direct_by, self.until = target, life, direct_by, until
        self.asked, self.helped, self.for_ = 0, False, for_


class Round:
    """Every member once in each round, in an order drawn anew: the longest time between two probes of one is
    bounded.
    """

    def __init__(self, chance):
        self.chance, self.left = chance, []

    def next(self, names):
        """The next of `names`, or None if there are none. Who is new comes within this round."""
        here = set(names)
        while self.left:
            if (name := self.left.pop()) in here:
                return name
        self.left = sorted(here)
        self.chance.shuffle(self.left)
        return self.left.pop() if self.left else None

    def joined(self, name):
        self.left.insert(self.chance.randrange(len(self.left) + 1), name)
