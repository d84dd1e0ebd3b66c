"""Signals from the first import on.

SIGTERM and SIGINT end the process at once, wherever it is: during its imports, in a long step, while it ends
already. Nothing is owed then: proxies keep their tables, a call half out is none for the relay, and the
system closes the sockets. SIGHUP is remembered until somebody can act on it: unhandled, it would end the
process.
"""

import os
import signal

STDERR = 2  # file descriptor


class EarlySignals:
    """Handles the signals of the process as soon as it is made.

    Attributes:
        hangup_pending: Whether SIGHUP came before anybody else had taken its handling over.
    """

    def __init__(self):
        self.hangup_pending = False
        signal.signal(signal.SIGTERM, self.exit_at_once)
        signal.signal(signal.SIGINT, self.exit_at_once)
        signal.signal(signal.SIGHUP, self.remember_hangup)

    @staticmethod
    def exit_at_once(number, _frame):
        """End the process with code 0; the line that says so goes out first, if it can."""
        try:
            # not by the log: the signal may have come while it writes, and it would wait for itself
            name = signal.Signals(number).name.encode()
            os.write(STDERR, b'{"event": "stopping", "signal": "%s", "level": "info"}\n' % name)
        finally:
            os._exit(0)

    def remember_hangup(self, _number, _frame):
        """Keep SIGHUP for whoever takes its handling over."""
        self.hangup_pending = True


EARLY_SIGNALS = EarlySignals()
