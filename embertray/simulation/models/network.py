"""All ways between the members of a cluster, and between them and others' ends (the list, the proxies)."""

import random

from .link import UNIMPAIRED, DirectedLink


class Network:
    """`ends`: names that only members reach, and that reach members only."""

    def __init__(self, members, seed=1, ends=()):
        self.members, self.outer_ends = list(members), list(ends)
        pairs = [(a, b) for a in members for b in members if a != b]
        pairs += [pair for a in members for b in ends for pair in ((a, b), (b, a))]
        self.links = {(a, b): DirectedLink(random.Random(f"{seed} {a} {b}")) for a, b in pairs}
        self.listeners = []  # each called with the time after ways were bent or made straight
        self.streams = {
            pair: set() for pair in pairs
        }  # what ends a stream that was opened by the first towards the second

    def link(self, a, b):
        """Raises KeyError for a link that is not there."""
        return self.links[a, b]

    def pairs(self, all_ends=False):
        return [
            (a, b) for a, b in self.links if all_ends or a not in self.outer_ends and b not in self.outer_ends
        ]

    # ---- wounds

    def set_conditions(self, now, pairs, **conditions):
        """Sets values of the ways of these pairs."""
        for pair in pairs:
            self.links[pair].set(now, **conditions)
        self.notify_listeners(now)

    def restore_conditions(self, now, pairs, names=tuple(UNIMPAIRED)):
        """Makes these values of these ways good again."""
        for pair in pairs:
            self.links[pair].heal(now, names)
        self.notify_listeners(now)

    def notify_listeners(self, now):
        for call in self.listeners:
            call(now)

    def set_all_conditions(self, now=0, **conditions):
        self.set_conditions(now, self.pairs(), **conditions)

    def pairs_between(self, groups):
        """The ordered pairs that lie between two of the groups; who is named in none reaches all."""
        side = {name: n for n, group in enumerate(groups) for name in group}
        return [(a, b) for a, b in self.links if a in side and b in side and side[a] != side[b]]

    def split(self, *groups, now=0):
        """Only those of one group reach each other."""
        self.set_conditions(now, self.links, open=True)
        self.set_conditions(now, self.pairs_between(groups), open=False)

    def heal(self, now=0):
        self.restore_conditions(now, self.links)

    def reset(self, a, b):
        """Streams between the two, whoever opened them, end now."""
        for pair in ((a, b), (b, a)):
            for close_stream in list(self.streams.get(pair, ())):
                close_stream()
