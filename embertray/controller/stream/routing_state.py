"""The routing state of a proxy, as it results from the orders that it applied.

It defines the meaning of the messages, for proxies and for observers of a simulation.
"""

from .messages import Bind, Level, Line, Withdrawal


class RoutingState:
    """A proxy's lines, withdrawals and admission levels.

    Until the first bind the proxy uses its standing table, whether or not it has a stream.

    Args:
        standing: Names of the backends in its standing table.

    Attributes:
        table: Number of the bound table; None: not bound, or the stream that it was bound on has ended.
        lines: Backend -> weight.
        levels: Request kind -> (level, retry limit).
        retry_after: Request kind -> how long a rejected client is asked to wait, ns.
        withdrawn: Names of the withdrawn backends.
    """

    def __init__(self, standing=()):
        self.table = None
        self.lines = dict.fromkeys(standing, 1.0)
        self.levels = {}
        self.retry_after = {}
        self.withdrawn = set()

    def apply(self, orders):
        """Applies an `Orders` message; lines and levels of other tables than the bound one are ignored."""
        for order in orders.do:
            if isinstance(order, Line):
                self._set_line(order)
            elif isinstance(order, Bind):
                self._bind(order)
            elif isinstance(order, Withdrawal):
                (self.withdrawn.add if order.out else self.withdrawn.discard)(order.backend)
            elif isinstance(order, Level) and order.table == self.table:
                self.levels.update({kind: (order.level, order.again) for kind in order.kinds})
                self.retry_after.update(dict.fromkeys(order.kinds, order.wait))

    def _set_line(self, order):
        if order.table != self.table:
            return
        if order.weight > 0:
            self.lines[order.backend] = order.weight
        else:
            self.lines.pop(order.backend, None)

    def _bind(self, order):
        self.table = order.table
        self.lines = {name: weight for name, weight in order.lines if weight > 0}
        self.levels = {kind: (level, retry) for kind, level, retry in order.levels}
        self.retry_after = {}
        self.withdrawn = set(order.out)  # a bound proxy applies only this controller's withdrawals

    def disconnected(self):
        """Records the end of the stream.

        The proxy keeps its lines but forgets the table's number, which means another table to the next
        controller.
        """
        self.table = None

    def routable_lines(self):
        """Returns the lines that requests may be sent to: backend -> weight."""
        return {name: weight for name, weight in self.lines.items() if name not in self.withdrawn}
