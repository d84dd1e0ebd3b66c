"""Signal handling from the first import on.

SIGTERM and SIGINT end the process at once, whatever it is doing: during its imports, in a long step, or while
it is already ending. No cleanup is needed: proxies keep their tables, the relay ignores a partially sent
call, and the system closes the sockets. SIGHUP is recorded until it can be handled: unhandled, it would end
the process.
"""

import os
import signal

STDERR = 2  # file descriptor


class EarlySignals:
    """Handles the signals of the process from its creation on.

    Attributes:
        hangup_pending: Whether SIGHUP was received before its handling was taken over.
    """

    def __init__(self):
        self.hangup_pending = False
        signal.signal(signal.SIGTERM, self.exit_at_once)
        signal.signal(signal.SIGINT, self.exit_at_once)
        signal.signal(signal.SIGHUP, self.remember_hangup)

    @staticmethod
    def exit_at_once(number, _frame):
        """End the process with exit code 0, after an attempt to write a log line."""
        try:
            # bypasses the logger: the signal may have interrupted it, and a nested call would deadlock
            name = signal.Signals(number).name.encode()
            os.write(STDERR, b'{"event": "stopping", "signal": "%s", "level": "info"}\n' % name)
        finally:
            os._exit(0)

    def remember_hangup(self, _number, _frame):
        """Record a SIGHUP until its handling is taken over."""
        self.hangup_pending = True


EARLY_SIGNALS = EarlySignals()
