"""What a proxy holds, folded from the orders that it applied: the meaning of the messages, for proxies and
observers.
"""

from .messages import Bind, Level, Line, Withdrawal


class Holding:
    """A proxy's lines, withdrawals and levels. Before a bind its standing table counts; no stream changes
    that.
    """

    def __init__(self, standing=()):
        self.table, self.lines = None, {name: 1.0 for name in standing}
        self.levels, self.waits, self.out = {}, {}, set()

    def apply(self, orders):
        """Applies one Orders message; lines and levels of tables that it is not bound to change nothing."""
        for do in orders.do:
            if isinstance(do, Line):
                if do.table == self.table:
                    if do.weight > 0:
                        self.lines[do.backend] = do.weight
                    else:
                        self.lines.pop(do.backend, None)
            elif isinstance(do, Bind):
                self.table, self.lines = do.table, {name: w for name, w in do.lines if w > 0}
                self.levels = {kind: (level, again) for kind, level, again in do.levels}
                self.waits = {}
                self.out = set(do.out)  # a bound proxy follows only this controller's withdrawals
            elif isinstance(do, Withdrawal):
                (self.out.add if do.out else self.out.discard)(do.backend)
            elif isinstance(do, Level) and do.table == self.table:
                self.levels.update({kind: (do.level, do.again) for kind in do.kinds})
                self.waits.update({kind: do.wait for kind in do.kinds})

    def left(self):
        """The stream broke: the proxy keeps what it holds, but no table of the next controller's numbers."""
        self.table = None

    def picks(self):
        """Lines that may be picked: backend -> weight."""
        return {name: w for name, w in self.lines.items() if name not in self.out}
