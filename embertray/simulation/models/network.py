"""All ways between the members of a cluster, and between them and others' ends (the list, the proxies)."""

import random

from .link import STRAIGHT, Way


class Web:
    """`ends`: names that only members reach, and that reach members only."""

    def __init__(self, members, seed=1, ends=()):
        self.members, self.others = list(members), list(ends)
        pairs = [(a, b) for a in members for b in members if a != b]
        pairs += [pair for a in members for b in ends for pair in ((a, b), (b, a))]
        self.ways = {(a, b): Way(random.Random(f"{seed} {a} {b}")) for a, b in pairs}
        self.watching = []  # each called with the time after ways were bent or made straight
        self.streams = {
            pair: set() for pair in pairs
        }  # what ends a stream that was opened by the first towards the second

    def way(self, a, b):
        """Raises KeyError for a link that is not there."""
        return self.ways[a, b]

    def pairs(self, all_ends=False):
        return [(a, b) for a, b in self.ways if all_ends or a not in self.others and b not in self.others]

    # ---- wounds

    def bend(self, now, pairs, **how):
        """Sets values of the ways of these pairs."""
        for pair in pairs:
            self.ways[pair].set(now, **how)
        self.changed(now)

    def straight(self, now, pairs, names=tuple(STRAIGHT)):
        """Makes these values of these ways good again."""
        for pair in pairs:
            self.ways[pair].heal(now, names)
        self.changed(now)

    def changed(self, now):
        for call in self.watching:
            call(now)

    def each(self, now=0, **how):
        self.bend(now, self.pairs(), **how)

    def parted(self, groups):
        """The ordered pairs that lie between two of the groups; who is named in none reaches all."""
        side = {name: n for n, group in enumerate(groups) for name in group}
        return [(a, b) for a, b in self.ways if a in side and b in side and side[a] != side[b]]

    def split(self, *groups, now=0):
        """Only those of one group reach each other."""
        self.bend(now, self.ways, open=True)
        self.bend(now, self.parted(groups), open=False)

    def heal(self, now=0):
        self.straight(now, self.ways)

    def reset(self, a, b):
        """Streams between the two, whoever opened them, end now."""
        for pair in ((a, b), (b, a)):
            for end in list(self.streams.get(pair, ())):
                end()
