"""Follows the list without I/O: which news apply, when to ask for the whole again, when to dial again.

An answer that does not fit on the epoch held is not applied: half a list is never taken for a whole one.
"""

from .messages import ListRequest, RequestFailed, WatchEvent, WatchRequest

S = 10**9
# -- constants: value, unit, reason
FIRST, MOST = (
    S // 2,
    8 * S,
)  # ns; delay before dialling again, first and longest: the list is one service for all
SPREAD = 2 * S  # ns; over which controllers that have a list spread their first call after a start
CALL = 5 * S  # ns; a call without an answer for so long has failed


class Follow:
    """The client's side. Verdicts: what to send, and WatchEvent to hand on."""

    def __init__(self, name="", chance=lambda: 1.0):
        self.name, self.chance = name, chance
        self.epoch, self.fails, self.waits_since, self.held = 0, 0, None, {}

    def first(self, have):
        """ns before the first dial: at once without a list; else spread, so that many that start together do
        not call together."""
        return int(SPREAD * self.chance()) if have else 0

    def dialled(self, now):
        """The connection is up: the first thing to say on it."""
        self.waits_since = now
        return WatchRequest(self.epoch, True, self.name)

    def asked(self, now, whole=False):
        """The list is wanted again; None while a call is under way: one at a time."""
        if self.waits_since is not None:
            return None
        self.waits_since = now
        return ListRequest() if whole else WatchRequest(self.epoch, True, self.name)

    def broke(self):
        """The connection is gone or a call failed; ns to wait before the next."""
        self.waits_since = None
        self.fails += 1
        return int(min(MOST, FIRST << min(self.fails - 1, 8)) * (0.2 + 0.8 * self.chance()))

    def late(self, now):
        return self.waits_since is not None and now - self.waits_since > CALL

    def heard(self, message):
        """('changes' | 'whole' | 'failed' | 'gap', entries). After a gap the whole list is to be asked
        for.
        """
        if isinstance(message, RequestFailed):
            self.fails += 1
            self.waits_since = None
            return "failed", []
        assert isinstance(message, WatchEvent)
        if message.since and message.since != self.epoch:
            self.waits_since = None
            return "gap", []
        self.waits_since, self.fails = None, 0
        self.epoch = message.epoch
        if message.since:
            self.held.update((e.backend, e) for e in message.entries)
            if any(e.state == "gone" for e in message.entries):
                self.held = {name: e for name, e in self.held.items() if e.state != "gone"}
            return "changes", message.entries
        self.held = {e.backend: e for e in message.entries if e.state != "gone"}
        return "whole", message.entries
