"""Merged load reports that wait for the policy: by backend and zone, by proxy and kind, and by round."""

from embertray.policy import interface as i


class PendingReport:
    """The merged reports of one backend.

    Attributes:
        attempts: Finished attempts.
        failed: Failed attempts among them.
        latency: Sum of the latencies of the other attempts, ns.
        load: The newest load values that the backend reported, by name.
        span: Time that the counts cover, ns.
    """

    __slots__ = ("attempts", "failed", "latency", "load", "span")

    def __init__(self):
        self.attempts = 0
        self.failed = 0
        self.latency = 0
        self.load = {}
        self.span = 0

    def add(self, attempts, failed, latency, load):
        """Adds counts; replaces the load values unless `load` is empty."""
        self.attempts += attempts
        self.failed += failed
        self.latency += latency
        self.load = load or self.load

    def to_event(self, backend, zone):
        """Returns the policy's event, or None if there was no attempt."""
        if not self.attempts:
            return None
        answered = self.attempts - self.failed
        mean_latency = self.latency // answered if answered else 0
        return i.BackendReport(backend, zone, self.attempts, self.failed, mean_latency, self.span, self.load)


class PendingArrivals:
    """The merged arrivals of one request kind at one proxy.

    Attributes:
        requests: Requests that arrived.
        lost: Lost requests among them.
        span: Time that the counts cover, ns.
    """

    __slots__ = ("lost", "requests", "span")

    def __init__(self):
        self.requests = 0
        self.lost = 0
        self.span = 0

    def add(self, requests, lost, span):
        """Adds counts that cover `span` ns."""
        self.requests += requests
        self.lost += lost
        self.span += span

    def to_event(self, proxy, kind):
        """Returns the policy's event."""
        return i.ArrivalReport(proxy, kind, self.requests, self.lost, self.span)


class ReportRound:
    """The reports of a zone's proxies since the round was opened, one of each proxy.

    Args:
        now: ns.

    Attributes:
        opened_at: When the round was opened, ns.
        spans: Proxy -> time that its report covers, ns.
        reports: Backend -> PendingReport; the span is added when the round is closed.
    """

    __slots__ = ("opened_at", "reports", "spans")

    def __init__(self, now):
        self.opened_at = now
        self.spans = {}
        self.reports = {}

    def mean_span(self):
        """Returns the mean of the times that the proxies' reports cover, ns."""
        return sum(self.spans.values()) // len(self.spans)
