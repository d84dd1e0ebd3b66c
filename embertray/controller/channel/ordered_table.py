"""A routing table as the policy has ordered it so far."""

from typing import NamedTuple


class OrderedLevel(NamedTuple):
    """The admission level of a request kind.

    Attributes:
        level: What is admitted: a share of the requests, or requests a second at each proxy.
        retry: Most retries, as the protocol encodes them.
    """

    level: float
    retry: int


class OrderedTable:
    """A routing table as ordered, keyed by the policy's handles.

    Attributes:
        lines: Backend -> weight, in the order in which the lines were ordered.
        levels: Request kind -> OrderedLevel.
        proxies: The bound proxies, as keys of a dict that keeps their order.
    """

    def __init__(self):
        self.lines = {}
        self.levels = {}
        self.proxies = {}

    def set_line(self, backend, weight):
        """Sets or removes a line.

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
