"""Queue of statements to gossip, ordered by number of transmissions, then newest first."""

from bisect import bisect_left, insort
from typing import NamedTuple

from .member import Statement
from .messages import statement_size


class QueuedStatement(NamedTuple):
    """A statement in the queue.

    Attributes:
        transmissions: How many times it was gossiped.
        order: Tie-breaker, lower for statements queued later.
        statement: The Statement.
        size: Its encoded size, bytes.
    """

    transmissions: int
    order: int
    statement: Statement
    size: int


class GossipQueue:
    """Statements in the order in which they are gossiped, at most one per member.

    A statement that a message takes moves back in the order; the others keep their places.
    """

    def __init__(self):
        self.by_name = {}  # name -> QueuedStatement
        self.order = []  # (transmissions, order, name), sorted
        self.put_count = 0
        self.min_size_bytes = 0  # lower bound of the statements' sizes, bytes

    def __len__(self):
        return len(self.by_name)

    def put(self, statement):
        """Queue a statement; it replaces a queued one about the same member.

        Args:
            statement: The Statement.
        """
        if statement.name in self.by_name:
            self._remove(statement.name)
        self.put_count += 1
        size = statement_size(statement)
        self.min_size_bytes = min(self.min_size_bytes, size) if self.by_name else size
        self._insert(QueuedStatement(0, -self.put_count, statement, size))

    def pick(self, max_bytes, transmissions, receiver=None):
        """Select the statements for one message, and count their transmission.

        Args:
            max_bytes: Maximum total size of the statements, bytes.
            transmissions: How many times a statement is gossiped before it is dropped.
            receiver: Name of the receiver. A statement about the receiver goes first, so that it can refute
                it.

        Returns:
            The Statements.
        """
        picked = []
        for name in self._candidates(receiver):
            if max_bytes < self.min_size_bytes:
                break
            queued = self.by_name[name]
            if queued.size <= max_bytes:
                max_bytes -= queued.size
                picked.append(queued)
        for queued in picked:
            self._remove(queued.statement.name)
            if queued.transmissions + 1 < transmissions:
                self._insert(queued._replace(transmissions=queued.transmissions + 1))
        return [queued.statement for queued in picked]

    def _candidates(self, first):
        if first in self.by_name:
            yield first
        for _, _, name in self.order:
            if name != first:
                yield name

    def _insert(self, queued):
        name = queued.statement.name
        self.by_name[name] = queued
        insort(self.order, (queued.transmissions, queued.order, name))

    def _remove(self, name):
        queued = self.by_name.pop(name)
        del self.order[bisect_left(self.order, (queued.transmissions, queued.order, name))]
