"""A routing table as it was ordered so far."""

from typing import NamedTuple


class OrderedLevel(NamedTuple):
    """The admission level of a request kind.

    Attributes:
        level: What is admitted: a share, or requests a second at each proxy.
        retry: The order's mark for further attempts.
    """

    level: float
    retry: int


class OrderedTable:
    """A routing table as ordered, by the policy's objects.

    Attributes:
        lines: Backend -> weight, in the order in which the lines came.
        levels: Request kind -> OrderedLevel.
        proxies: The bound proxies, as keys.
    """

    def __init__(self):
        self.lines = {}
        self.levels = {}
        self.proxies = {}

    def set_line(self, backend, weight):
        """Takes a line into the table, or out of it.

        Args:
            backend: The backend.
            weight: Its weight; 0 removes the line.

        Returns:
            Whether the backend is new in the table.
        """
        if weight > 0:
            is_new = backend not in self.lines
            self.lines[backend] = weight
            return is_new
        self.lines.pop(backend, None)
        return False
