"""Statements on their way: each is handed on so many times, those least told first, of these the newest."""

from bisect import bisect_left, insort
from collections import namedtuple

from .messages import size

Gossip = namedtuple("Gossip", "times order statement bytes")  # times: how often it was handed on


class GossipQueue:
    """Kept in the order in which they are handed on: what a message takes moves back, the rest stays."""

    def __init__(self):
        self.waiting, self.count = {}, 0  # name -> Gossip
        self.queue = []  # (times, order, name), sorted
        self.smallest = 0  # bytes that no statement waiting is below

    def __len__(self):
        return len(self.waiting)

    def put(self, statement):
        """A newer statement on a name takes the place of the former."""
        if statement.name in self.waiting:
            self.remove(statement.name)
        self.count += 1
        rumor = Gossip(0, -self.count, statement, size(statement))
        self.smallest = min(self.smallest, rumor.bytes) if self.waiting else rumor.bytes
        self.insert(statement.name, rumor)

    def pick(self, room, times, to=None):
        """Statements for one message of `room` bytes; `to`: a name whose own statement goes first, if there
        is any.
        """
        found = []
        for name in self.candidates(to):
            if room < self.smallest:
                break
            rumor = self.waiting[name]
            if rumor.bytes <= room:
                room -= rumor.bytes
                found.append(rumor)
        for rumor in found:
            self.remove(rumor.statement.name)
            if rumor.times + 1 < times:
                self.insert(rumor.statement.name, rumor._replace(times=rumor.times + 1))
        return [rumor.statement for rumor in found]

    def candidates(self, first):
        if first in self.waiting:
            yield first
        for _, _, name in self.queue:
            if name != first:
                yield name

    def insert(self, name, rumor):
        self.waiting[name] = rumor
        insort(self.queue, (rumor.times, rumor.order, name))

    def remove(self, name):
        rumor = self.waiting.pop(name)
        del self.queue[bisect_left(self.queue, (rumor.times, rumor.order, name))]
