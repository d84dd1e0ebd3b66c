"""What a proxy holds, folded from the orders that it applied.

This is the meaning of the messages, for proxies and observers.
"""

from .messages import Bind, Level, Line, Withdrawal


class Holding:
    """A proxy's lines, withdrawals and levels.

    Before a binding its standing table counts; no stream changes that.

    Args:
        standing: names of the backends in its standing table.
    """

    def __init__(self, standing=()):
        self.table = None
        self.lines = dict.fromkeys(standing, 1.0)
        self.levels = {}  # request kind -> (level, retry)
        self.waits = {}  # request kind -> ns that a rejected client is asked to stay away
        self.out = set()  # withdrawn backends

    def apply(self, orders):
        """Applies one `Orders` message; lines and levels of tables that it is not bound to change nothing."""
        for order in orders.do:
            if isinstance(order, Line):
                self._set_line(order)
            elif isinstance(order, Bind):
                self._bind(order)
            elif isinstance(order, Withdrawal):
                (self.out.add if order.out else self.out.discard)(order.backend)
            elif isinstance(order, Level) and order.table == self.table:
                self.levels.update({kind: (order.level, order.again) for kind in order.kinds})
                self.waits.update(dict.fromkeys(order.kinds, order.wait))

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
        self.waits = {}
        self.out = set(order.out)  # a bound proxy follows only this controller's withdrawals

    def left(self):
        """The stream broke: the proxy keeps what it holds, but no table of the next controller's numbers."""
        self.table = None

    def picks(self):
        """Lines that may be picked: backend -> weight."""
        return {name: weight for name, weight in self.lines.items() if name not in self.out}
