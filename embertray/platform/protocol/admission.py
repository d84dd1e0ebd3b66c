"""Admission of connections at the controller's address.

Connections that have not joined and collectors have a part of the file descriptors each; neither takes the
other's or those of relay and discovery.
"""

from .limits import COLLECTORS_MIN, RESERVED_DESCRIPTORS, UNJOINED_MIN, UNJOINED_SHARE


class ConnectionAdmission:
    """Counts collectors, and names the one to evict when one too many has joined.

    Against peers that join and never report: any peer can join, but a true collector reports again and
    again, so the one that reported least lately goes, those without a report first. Collectors are whatever
    the caller knows them by.

    Attributes:
        unjoined_max: How many connections that have not joined may be open.
        collectors_max: How many collectors may be.
    """

    def __init__(self, descriptors):
        """`descriptors`: file descriptors that the process may hold."""
        available = descriptors - RESERVED_DESCRIPTORS
        self.unjoined_max = max(UNJOINED_MIN, min(int(descriptors * UNJOINED_SHARE), available))
        self.collectors_max = max(COLLECTORS_MIN, available - self.unjoined_max)
        self.without_report = {}  # in the order of joining
        self.by_last_report = {}  # the one that reported least lately first

    def admit(self, collector):
        """A collector joined. Returns the one that has to be closed for it, or None."""
        evicted = None
        if len(self.without_report) + len(self.by_last_report) >= self.collectors_max:
            evicted = next(iter(self.without_report or self.by_last_report))
            self.release(evicted)
        self.without_report[collector] = True
        return evicted

    def reported(self, collector):
        """A report of this collector counted."""
        # against an evicted one whose last bytes held a report: it must not be counted again
        if collector in self.without_report or collector in self.by_last_report:
            self.release(collector)
            self.by_last_report[collector] = True

    def release(self, collector):
        """The collector's connection is closed."""
        self.without_report.pop(collector, None)
        self.by_last_report.pop(collector, None)
