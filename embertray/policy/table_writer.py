"""Orders the lines and levels of tables within one step, and records what was sent of each table."""

from .interface import SetAdmission, SetLine
from .learned_weights import MOVE_THRESHOLD

BIND_LINES = 2  # lines of a binding in addition to the lines of its table
NEVER_SENT = 1e-9  # assumed weight of a line that was not sent


class TableWriter:
    """Collects the line and level orders of one step.

    Args:
        budget: `ChannelBudget` in which levels are reserved.
    """

    def __init__(self, budget):
        self.budget = budget
        self.orders = []
        self.levels = {}  # request kind -> current AdmissionLevel

    def begin_step(self, levels):
        """Clears the orders of the previous step.

        Args:
            levels: request kind -> `AdmissionLevel`; None or empty: unchanged.
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
        """Orders the levels that differ from those sent for a table, as far as the budget permits."""
        for kind, level in self.levels.items():
            if table.levels.get(kind) != level and self.budget.reserve(proxies, 1, priority):
                table.levels[kind] = level
                self.orders.append(SetAdmission(table.handle, [kind], level.admitted, level.retry))

    def bind_lines(self, table):
        """Returns the channel lines that binding a proxy to a table costs."""
        return BIND_LINES + table.line_count() + len(self.levels)

    @staticmethod
    def changed_lines(table):
        """Returns the desired lines that differ by more than the threshold, largest difference first.

        Lines of backends that are not ready are left out: `endpoint_removal` removes them.

        Returns:
            list of (`BackendState`, desired weight).
        """
        sent = table.sent
        difference = {
            backend: weight / sent.get(backend, NEVER_SENT) - 1
            for backend, weight in table.desired.items()
            if backend.state == "ready" and (weight or backend in sent)
        }
        changed = [
            backend
            for backend in sorted(difference, key=lambda backend: -abs(difference[backend]))
            if abs(difference[backend]) > MOVE_THRESHOLD
        ]
        return [(backend, table.desired[backend]) for backend in changed]
