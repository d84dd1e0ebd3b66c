"""A routing table as the decisions keep it."""


class TableState:
    """Lines (backend -> weight) and levels of a table, as wanted and as last sent.

    Args:
        handle: `interface.Table` that stands for it outside.
    """

    def __init__(self, handle):
        self.handle = handle
        self.desired = {}
        self.sent = {}
        self.levels = {}
        self.failures = 0  # updates in a row that some proxy did not acknowledge

    def line_count(self):
        """Lines that bind a proxy anew to it."""
        return len(self.sent | self.desired)

    def record_sent(self, lines):
        """Keeps lines that were sent.

        Args:
            lines: list of (backend, weight); weight 0 removes a line.
        """
        self.sent.update(lines)
        for backend in [backend for backend, weight in lines if not weight]:
            del self.sent[backend]

    def compact(self):
        """Frees the room of removed lines: a dict that is made anew has no empty places."""
        self.sent = dict(self.sent)
