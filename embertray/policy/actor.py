"""What every part builds on: its inbox, the constants (c) and the types of events and orders (i)."""

from collections import deque

from . import (
    constants as c,  # noqa: F401
    interface as i,  # noqa: F401
)


class Actor:
    """A part with an inbox; a note is the name of an on_... method and what it is given."""

    now = property(lambda self: self.owner.now)

    def __init__(self, owner, handle=None):
        self.owner, self.site, self.handle, self.inbox = owner, owner.site, handle, deque()

    def send(self, note, *what):
        self.inbox.append((note, what))
        self.owner.ready.append(self)
