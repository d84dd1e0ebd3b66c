"""Orders lines and levels of tables within one step, and keeps what was sent of each table."""

from .interface import SetAdmission, SetLine
from .learned_weights import MOVE_THRESHOLD

BIND_LINES = 2  # lines that a binding costs beyond the table's own
NEVER_SENT = 1e-9  # weight that a line which was not sent is compared with


class TableWriter:
    """Collects the line and level orders of one step.

    Args:
        budget: `ChannelBudget`, asked before levels are written.
    """

    def __init__(self, budget):
        self.budget = budget
        self.orders = []
        self.levels = {}  # request kind -> AdmissionLevel, as last decided

    def begin_step(self, levels):
        """Nothing is ordered yet.

        Args:
            levels: request kind -> `AdmissionLevel`; None or empty: as before.
        """
        self.orders = []
        self.levels = levels or self.levels

    def write_lines(self, table, lines):
        """Orders lines of a table.

        Args:
            table: `TableState`.
            lines: list of (`BackendState`, weight); weight 0 removes a line.
        """
        self.orders += [SetLine(table.handle, backend.handle, weight) for backend, weight in lines]
        table.record_sent(lines)

    def write_levels(self, table, proxies, priority):
        """Orders the levels that differ from what was sent to a table's proxies, as far as there is room."""
        for kind, level in self.levels.items():
            if table.levels.get(kind) != level and self.budget.reserve(proxies, 1, priority):
                table.levels[kind] = level
                self.orders.append(SetAdmission(table.handle, [kind], level.admitted, level.retry))

    def bind_lines(self, table):
        """Lines of the channel that binding a proxy to a table costs."""
        return BIND_LINES + table.line_count() + len(self.levels)

    @staticmethod
    def changed_lines(table):
        """The wanted lines that differ by more than the threshold, the furthest off first.

        Lines of backends that are not ready are not changed here: they are removed (`endpoint_removal`).

        Returns:
            list of (`BackendState`, wanted weight).
        """
        sent = table.sent
        off = {
            backend: weight / sent.get(backend, NEVER_SENT) - 1
            for backend, weight in table.desired.items()
            if backend.state == "ready" and (weight or backend in sent)
        }
        moved = [
            backend
            for backend in sorted(off, key=lambda backend: -abs(off[backend]))
            if abs(off[backend]) > MOVE_THRESHOLD
        ]
        return [(backend, table.desired[backend]) for backend in moved]
