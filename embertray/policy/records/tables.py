"""A routing table as the decision module keeps it."""


class TableState:
    """Lines (backend -> weight) and levels, as wanted and as last sent, and pushes that failed in a row."""

    def __init__(self, handle):
        self.handle, self.want, self.sent, self.levels, self.fails = handle, {}, {}, {}, 0

    def size(self):
        """Lines that bind a proxy anew to it."""
        return len(self.sent | self.want)

    def put(self, lines):
        """These lines were sent: (backend, weight) pairs; weight 0 removes one."""
        self.sent.update(lines)
        for backend in [backend for backend, weight in lines if not weight]:
            del self.sent[backend]

    def compact(self):
        """Made anew, a dict has no empty places."""
        self.sent = dict(self.sent)
