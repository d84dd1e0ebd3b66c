"""Signals from the first import on. SIGTERM and SIGINT end the process at once, wherever it is: during its
imports, in a long step, while it ends already. Nothing is owed then: proxies keep their tables, a call half
out is none for the relay, and the system closes the sockets. SIGHUP is kept until somebody can act on it:
unhandled, it would end the process."""

import os
import signal


class Early:
    """`kept`: SIGHUP came before anybody else had taken its handling over."""

    def __init__(self):
        self.kept = False
        for one in (signal.SIGTERM, signal.SIGINT):
            signal.signal(one, self.end)
        signal.signal(signal.SIGHUP, self.keep)

    @staticmethod
    def end(number, _):
        try:  # not by the log: a signal may come while it writes
            os.write(
                2,
                b'{"event": "stopping", "signal": "%s", "level": "info"}\n'
                % signal.Signals(number).name.encode(),
            )
        finally:
            os._exit(0)

    def keep(self, _number, _frame):
        self.kept = True


EARLY = Early()
