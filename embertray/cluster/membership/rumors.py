"""Statements on their way: each is handed on so many times, those least told first."""

from .messages import size


class Rumors:
    def __init__(self):
        self.told, self.count = {}, 0  # name -> [times, order, statement, bytes]

    def __len__(self):
        return len(self.told)

    def put(self, said):
        """A newer statement on a name takes the place of the former."""
        self.count += 1
        self.told[said.name] = [0, -self.count, said, size(said)]

    def take(self, room, times, to=None):
        """Statements for one message of `room` bytes; `to`: a name whose own statement goes first, if there
        is any.
        """
        order = sorted(self.told.values(), key=lambda row: (row[2].name != to, row[0], row[1]))
        found = []
        for row in order:
            if row[3] <= room:
                room -= row[3]
                row[0] += 1
                found.append(row[2])
                if row[0] >= times:
                    del self.told[row[2].name]
        return found
