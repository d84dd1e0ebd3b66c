"""Load reports that are merged while they wait for the policy: by backend, by proxy and kind, by round."""

from embertray.policy import interface as i


class PendingReport:
    """The merged reports of one backend.

    Attributes:
        attempts: Attempts that ended.
        failed: How many of them failed.
        latency: Sum over the answered ones, ns.
        load: The newest load values among the answers, by name.
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
        """Adds counts; load values are replaced if there are newer ones."""
        self.attempts += attempts
        self.failed += failed
        self.latency += latency
        self.load = load or self.load

    def event(self, backend, zone):
        """Returns the policy's event, or None if there was no attempt."""
        if not self.attempts:
            return None
        answered = self.attempts - self.failed
        mean_latency = self.latency // answered if answered else 0
        return i.BackendReport(backend, zone, self.attempts, self.failed, mean_latency, self.span, self.load)


class PendingArrivals:
    """The merged arrivals of one request kind at one proxy.

    Attributes:
        requests: Requests that came.
        lost: How many of them were lost.
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

    def event(self, proxy, kind):
        """Returns the policy's event."""
        return i.ArrivalReport(proxy, kind, self.requests, self.lost, self.span)


class ReportRound:
    """What a zone's proxies have reported since the round was opened, each once.

    Args:
        now: ns.

    Attributes:
        opened_at: ns.
        spans: Proxy -> time that its report covers, ns.
        reports: Backend -> PendingReport; their spans are set when the round is closed.
    """

    __slots__ = ("opened_at", "reports", "spans")

    def __init__(self, now):
        self.opened_at = now
        self.spans = {}
        self.reports = {}

    def mean_span(self):
        """Returns the time that the round covers, ns."""
        return sum(self.spans.values()) // len(self.spans)
