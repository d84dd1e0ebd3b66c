"""Who may hold a connection at our address: strangers and collectors have a part of the descriptors each, and
neither takes the other's or those of relay and discovery."""

from .limits import SPARE, STRANGERS_PART


class Room:
    """`sockets`: descriptors that the process may hold. Collectors are whatever the caller knows them by; of
    one more than there is room for, the one that told least lately goes: any stranger can join, but a true
    one reports again and again."""

    def __init__(self, sockets):
        self.strangers_most = max(16, min(int(sockets * STRANGERS_PART), sockets - SPARE))
        self.collectors_most = max(8, sockets - SPARE - self.strangers_most)
        self.silent, self.reported = {}, {}  # in the order of joining; of the last report

    def joined(self, who):
        """The collector that has to go for `who`, or None."""
        go = None
        if len(self.silent) + len(self.reported) >= self.collectors_most:
            go = next(iter(self.silent or self.reported))
            self.left(go)
        self.silent[who] = True
        return go

    def told(self, who):
        """A report of `who` counted."""
        if who in self.silent or who in self.reported:  # who had to go may have told something on its way out
            self.left(who)
            self.reported[who] = True

    def left(self, who):
        self.silent.pop(who, None)
        self.reported.pop(who, None)
