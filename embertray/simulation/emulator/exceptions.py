"""Errors of the emulator."""


class EmulatorError(Exception):
    """Base of the emulator's errors."""


class StuckClockError(EmulatorError, RuntimeError):
    """Too many events fell due at one instant: simulated time does not advance.

    Args:
        events: Events at that instant.
        now: That instant, ns.
    """

    def __init__(self, events, now):
        super().__init__(f"{events} events at {now} ns: time stands still")
        self.events = events
        self.now = now


class PastEventError(EmulatorError, ValueError):
    """An event was scheduled before the present.

    Args:
        when: Its time, ns.
        now: The present, ns.
    """

    def __init__(self, when, now):
        super().__init__(f"{when} is before now, {now}")
        self.when = when
        self.now = now
