"""Statements on their way: each is handed on so many times, those least told first, of these the newest."""

from bisect import bisect_left, insort
from collections import namedtuple

from .messages import size

Rumor = namedtuple("Rumor", "times order statement bytes")  # times: how often it was handed on


class Rumors:
    """Kept in the order in which they are handed on: what a message takes moves back, the rest stays."""

    def __init__(self):
        self.told, self.count = {}, 0  # name -> Rumor
        self.queue = []  # (times, order, name), sorted
        self.smallest = 0  # bytes that no statement waiting is below

    def __len__(self):
        return len(self.told)

    def put(self, said):
        """A newer statement on a name takes the place of the former."""
        if said.name in self.told:
            self.remove(said.name)
        self.count += 1
        rumor = Rumor(0, -self.count, said, size(said))
        self.smallest = min(self.smallest, rumor.bytes) if self.told else rumor.bytes
        self.insert(said.name, rumor)

    def take(self, room, times, to=None):
        """Statements for one message of `room` bytes; `to`: a name whose own statement goes first, if there
        is any.
        """
        found = []
        for name in self.candidates(to):
            if room < self.smallest:
                break
            rumor = self.told[name]
            if rumor.bytes <= room:
                room -= rumor.bytes
                found.append(rumor)
        for rumor in found:
            self.remove(rumor.statement.name)
            if rumor.times + 1 < times:
                self.insert(rumor.statement.name, rumor._replace(times=rumor.times + 1))
        return [rumor.statement for rumor in found]

    def candidates(self, first):
        if first in self.told:
            yield first
        for _, _, name in self.queue:
            if name != first:
                yield name

    def insert(self, name, rumor):
        self.told[name] = rumor
        insort(self.queue, (rumor.times, rumor.order, name))

    def remove(self, name):
        rumor = self.told.pop(name)
        del self.queue[bisect_left(self.queue, (rumor.times, rumor.order, name))]
