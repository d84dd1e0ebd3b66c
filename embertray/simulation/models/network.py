"""The directed links between the members of a cluster, and between members and outer ends.

Outer ends are the endpoint list and the proxies, for example.
"""

import random

from .link import UNIMPAIRED, DirectedLink


class Network:
    """The links between named processes, and the streams that are open on them.

    Args:
        members: The names of the members; each pair of them is linked.
        seed: Seed of all draws of the links.
        ends: The names of outer ends, which are linked with members only.

    Attributes:
        links: (sender, receiver) -> DirectedLink.
        listeners: Functions that are called with the time after each change of conditions.
        streams: (opener, other) -> functions that close a stream that the first opened to the second.
    """

    def __init__(self, members, seed=1, ends=()):
        self.members, self.outer_ends = list(members), list(ends)
        pairs = [(a, b) for a in members for b in members if a != b]
        pairs += [pair for a in members for b in ends for pair in ((a, b), (b, a))]
        self.links = {(a, b): DirectedLink(random.Random(f"{seed} {a} {b}")) for a, b in pairs}
        self.listeners = []
        self.streams = {pair: set() for pair in pairs}

    def link(self, a, b):
        """Returns the DirectedLink from a to b. Raises KeyError if there is none."""
        return self.links[a, b]

    def pairs(self, all_ends=False):
        """Returns the linked (sender, receiver) pairs of members; with `all_ends`, of outer ends too."""
        return [
            (a, b) for a, b in self.links if all_ends or a not in self.outer_ends and b not in self.outer_ends
        ]

    # ---- faults

    def set_conditions(self, now, pairs, **conditions):
        """Sets some conditions of the links of these pairs at `now`, ns."""
        for pair in pairs:
            self.links[pair].set(now, **conditions)
        self.notify_listeners(now)

    def restore_conditions(self, now, pairs, names=tuple(UNIMPAIRED)):
        """Resets the named conditions of the links of these pairs at `now`, ns; all by default."""
        for pair in pairs:
            self.links[pair].heal(now, names)
        self.notify_listeners(now)

    def notify_listeners(self, now):
        """Calls all listeners with `now`, ns."""
        for call in self.listeners:
            call(now)

    def set_all_conditions(self, now=0, **conditions):
        """Sets some conditions of all links between members at `now`, ns."""
        self.set_conditions(now, self.pairs(), **conditions)

    def pairs_between(self, groups):
        """Returns the linked pairs of processes in different groups; processes in no group are left out."""
        side = {name: n for n, group in enumerate(groups) for name in group}
        return [(a, b) for a, b in self.links if a in side and b in side and side[a] != side[b]]

    def split(self, *groups, now=0):
        """Closes the links between different groups and opens all others; in no group: reaches all."""
        self.set_conditions(now, self.links, open=True)
        self.set_conditions(now, self.pairs_between(groups), open=False)

    def heal(self, now=0):
        """Resets the conditions of all links at `now`, ns."""
        self.restore_conditions(now, self.links)

    def reset(self, a, b):
        """Closes all streams between two processes, whichever opened them."""
        for pair in ((a, b), (b, a)):
            for close_stream in list(self.streams.get(pair, ())):
                close_stream()
