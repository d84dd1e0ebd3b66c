"""State of a routing table."""


class TableState:
    """Lines (backend -> weight) and levels of a table, as desired and as last sent.

    Args:
        handle: `interface.Table` by which orders refer to it.
    """

    def __init__(self, handle):
        self.handle = handle
        self.desired = {}
        self.sent = {}
        self.levels = {}
        self.failures = 0  # consecutive updates that some proxy did not acknowledge

    def line_count(self):
        """Returns the number of lines sent when a proxy is bound to the table."""
        return len(self.sent | self.desired)

    def record_sent(self, lines):
        """Records lines that were sent.

        Args:
            lines: list of (backend, weight); weight 0 removes a line.
        """
        self.sent.update(lines)
        for backend in [backend for backend, weight in lines if not weight]:
            del self.sent[backend]

    def compact(self):
        """Frees the memory of removed lines: a copied dict has no unused slots."""
        self.sent = dict(self.sent)
