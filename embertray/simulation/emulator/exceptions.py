"""Errors of the emulator."""


class EmulatorError(Exception):
    """Base of the emulator's errors."""


class StuckClockError(EmulatorError, RuntimeError):
    """Too many calls fell due at one instant: simulated time does not advance.

    Args:
        events: Calls at that instant.
        now: That instant, ns.
    """

    def __init__(self, events, now):
        super().__init__(f"{events} calls at {now} ns: simulated time does not advance")
        self.events = events
        self.now = now


class PastEventError(EmulatorError, ValueError):
    """A call was scheduled for a time that has passed.

    Args:
        when: Its time, ns.
        now: The current time, ns.
    """

    def __init__(self, when, now):
        super().__init__(f"call scheduled for {when} ns, before the current time, {now} ns")
        self.when = when
        self.now = now
