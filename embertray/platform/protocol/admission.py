"""Admission of connections to the controller's listening address.

Unjoined connections and collectors each have their own share of the file descriptors; neither can exhaust the
other's, nor those for the relay and discovery.
"""

from .limits import COLLECTORS_MIN, RESERVED_DESCRIPTORS, UNJOINED_MIN, UNJOINED_SHARE


class ConnectionAdmission:
    """Limits the number of collectors and selects the one to evict when the limit is exceeded.

    Any peer can join and then stay silent, but a real collector reports regularly. So the eviction order is
    least recently reported first, beginning with collectors that have never reported. The caller
    identifies collectors by hashable keys.

    Attributes:
        unjoined_max: Maximum number of open connections that have not joined.
        collectors_max: Maximum number of collectors.
    """

    def __init__(self, descriptors):
        """`descriptors`: the process's limit of open file descriptors."""
        available = descriptors - RESERVED_DESCRIPTORS
        self.unjoined_max = max(UNJOINED_MIN, min(int(descriptors * UNJOINED_SHARE), available))
        self.collectors_max = max(COLLECTORS_MIN, available - self.unjoined_max)
        self.without_report = {}  # in the order of joining; values are unused
        self.by_last_report = {}  # least recently reported first; values are unused

    def admit(self, collector):
        """Register a new collector. Returns the one to be evicted for it, or None."""
        evicted = None
        if len(self.without_report) + len(self.by_last_report) >= self.collectors_max:
            evicted = next(iter(self.without_report or self.by_last_report))
            self.release(evicted)
        self.without_report[collector] = True
        return evicted

    def reported(self, collector):
        """Note that a collector has sent a valid report."""
        # the last bytes of an evicted collector may contain a report: it must not be registered again
        if collector in self.without_report or collector in self.by_last_report:
            self.release(collector)
            self.by_last_report[collector] = True

    def release(self, collector):
        """Remove a collector whose connection is closed."""
        self.without_report.pop(collector, None)
        self.by_last_report.pop(collector, None)
