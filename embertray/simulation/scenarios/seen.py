"""What the sockets showed of a controller and of a proxy so far, for the rules."""

from collections import deque

from embertray.controller.stream.holding import Holding


class Told:
    """What a controller was told of one backend."""

    __slots__ = ("state", "started", "at", "knew")

    def __init__(self, state, started, at, knew):
        self.state, self.started, self.at, self.knew = state, started, at, knew


class Con:
    """A controller as the sockets show it: one life."""

    def __init__(self, at):
        self.born, self.list, self.frozen, self.late, self.pace, self.slow_until = at, {}, False, [], 1.0, at
        self.slowest, self.frozen_at = 1.0, 0
        self.messages = []  # (stamp, seen, cost)

    def factor(self, since):
        return 1 / self.pace if self.pace < 1 else (self.slowest if since <= self.slow_until else 1.0)


class Pxy:
    def __init__(self, standing):
        self.holding, self.con, self.joined_at, self.bare = Holding(standing), None, 0, None
        self.message_at, self.excused, self.out, self.times, self.waiting = -1, 0, False, deque(), {}
