"""What a proxy holds, folded from the orders that it applied.

This is the meaning of the messages, for proxies and observers.
"""

from .messages import Bind, Level, Line, Withdrawal


class RoutingState:
    """A proxy's lines, withdrawals and levels.

    Before a binding its standing table counts; no stream changes that.

    Args:
        standing: names of the backends in its standing table.
    """

    def __init__(self, standing=()):
        self.table = None
        self.lines = dict.fromkeys(standing, 1.0)
        self.levels = {}  # request kind -> (level, retry)
        self.retry_after = {}  # request kind -> ns that a rejected client is asked to stay away
        self.withdrawn = set()  # withdrawn backends

    def apply(self, orders):
        """Applies one `Orders` message; lines and levels of tables that it is not bound to change nothing."""
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
        self.withdrawn = set(order.out)  # a bound proxy follows only this controller's withdrawals

    def disconnected(self):
        """The stream broke: the proxy keeps what it holds, but no table of the next controller's numbers."""
        self.table = None

    def routable_lines(self):
        """Lines that may be picked: backend -> weight."""
        return {name: weight for name, weight in self.lines.items() if name not in self.withdrawn}
