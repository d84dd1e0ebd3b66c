"""Merges the proxies' load reports into the events that the policy receives, at a limited rate, without I/O.

The policy gets one event for a zone and backend, and one for a proxy and request kind. The reports of a
zone's proxies are gathered in a round until each has reported once, for a report cycle at most: their counts
add up, and the time that they cover counts once, not once a proxy, so that an event's rate is the zone's. At
most `rate` events a second are released, the oldest first. What waits is merged exactly: counts, latency sums
and spans add up, and the newest load values stay. With rate 0 everything is released at once.
"""

from .pending_reports import PendingArrivals, PendingReport, ReportRound

NS_PER_SECOND = 10**9
BURST_S = 0.25  # of the rate that may be released at once: what one step of the policy can use
BURST_MIN = 1.0  # events that may be released at once all the same: below one nothing would ever be
SILENT_CYCLES = 3  # report cycles after which a round no longer waits for a silent proxy


class ReportIntake:
    """The load reports of one controller's proxies on their way to the policy.

    Args:
        rate: Events released a second at most; 0: no limit.
        now: ns.
        cycle: The proxies' report cycle, ns.

    Attributes:
        waiting: (backend, zone) -> PendingReport and (proxy, kind) -> PendingArrivals, the oldest first.
        rounds: Zone -> the open ReportRound.
        merged: How often something was added to an event that waited already.
        released: Events that were released.
        unknown: Parts of reports that were skipped, since they name what no list had.
        dropped: Events that were dropped for lack of memory.
    """

    def __init__(self, rate, now=0, cycle=0):
        self.rate = rate
        self.cycle = cycle
        self.waiting = {}
        self.rounds = {}
        self.merged = 0
        self.released = 0
        self.unknown = 0
        self.dropped = 0
        self._tokens = rate * BURST_S  # events that may be released now
        self._tokens_at = now  # ns
        self._reported_at = {}  # zone -> proxy -> when it last reported, ns

    def add_report(self, now, proxy, zone, report, find_backend, find_kind):
        """Takes in a proxy's load report.

        Args:
            now: ns.
            proxy: The proxy's handle.
            zone: The handle of its zone.
            report: The LoadReport.
            find_backend: Gives the handle of a backend's name; None: no list had it, its counts are skipped.
            find_kind: Gives the RequestKind of a name; None: the site has none, its counts are skipped.
        """
        self._close_overdue_rounds(now)
        self._add_attempts(now, proxy, zone, report, find_backend)
        self._add_arrivals(proxy, report, find_kind)

    def _add_attempts(self, now, proxy, zone, report, find_backend):
        current = self._round_for(now, proxy, zone)
        for totals in report.met:
            backend = find_backend(totals.backend)
            if backend is None:
                self.unknown += 1
                continue
            if backend not in current.reports:
                current.reports[backend] = PendingReport()
            current.reports[backend].add(totals.tries, totals.failed, totals.latency, totals.load)
        current.spans[proxy] = report.span
        reported_at = self._reported_at.setdefault(zone, {})
        reported_at[proxy] = now
        if len(current.spans) >= len(reported_at):
            self._close_round(zone)

    def _round_for(self, now, proxy, zone):
        """Returns the zone's open round.

        A proxy's second report ends the round, whoever is missing: each report counts once in a round.
        """
        if zone in self.rounds and proxy in self.rounds[zone].spans:
            self._close_round(zone)
        if zone not in self.rounds:
            self.rounds[zone] = ReportRound(now)
        return self.rounds[zone]

    def _add_arrivals(self, proxy, report, find_kind):
        for totals in report.came:
            kind = find_kind(totals.kind)
            if kind is None:
                self.unknown += 1
                continue
            self._pending((proxy, kind), PendingArrivals).add(totals.requests, totals.lost, report.span)

    def _close_round(self, zone):
        """Moves the zone's round to the events that wait."""
        closed = self.rounds.pop(zone)
        span = closed.mean_span()
        for backend, report in closed.reports.items():
            pending = self._pending((backend, zone), PendingReport)
            pending.add(report.attempts, report.failed, report.latency, report.load)
            pending.span += span

    def _close_overdue_rounds(self, now):
        """Closes rounds that have waited for a cycle.

        Against a proxy that falls silent without leaving: its zone's reports would wait for it for ever. It
        is not waited for again once it has been silent for SILENT_CYCLES, so later rounds close at once.
        """
        overdue = [
            zone for zone, open_round in self.rounds.items() if now - open_round.opened_at >= self.cycle
        ]
        for zone in overdue:
            self._close_round(zone)
            self._reported_at[zone] = {
                proxy: reported_at
                for proxy, reported_at in self._reported_at[zone].items()
                if now - reported_at <= SILENT_CYCLES * self.cycle
            }

    def _pending(self, key, pending_type):
        if key in self.waiting:
            self.merged += 1
        else:
            self.waiting[key] = pending_type()
        return self.waiting[key]

    def release_due(self, now):
        """Releases as many events as the rate allows at `now` (ns).

        Returns:
            Events for the policy.
        """
        self._refill_tokens(now)
        self._close_overdue_rounds(now)
        events = []
        while self.waiting and (not self.rate or self._tokens >= 1):
            key = next(iter(self.waiting))
            event = self.waiting.pop(key).event(*key)
            self._tokens -= 1
            if event is not None:
                events.append(event)
        self.released += len(events)
        return events

    def _refill_tokens(self, now):
        if self.rate:
            most = max(BURST_MIN, self.rate * BURST_S)
            refill = (now - self._tokens_at) * self.rate / NS_PER_SECOND
            self._tokens = min(most, self._tokens + refill)
        self._tokens_at = now

    def next_release(self):
        """Returns when the next event may be released or a round is to be closed, ns; None: nothing waits."""
        close_at = min((opened.opened_at + self.cycle for opened in self.rounds.values()), default=None)
        if not self.waiting:
            return close_at
        release_at = self._tokens_at
        if self.rate and self._tokens < 1:
            release_at += int((1 - self._tokens) * NS_PER_SECOND / self.rate) + 1
        return release_at if close_at is None else min(release_at, close_at)

    def waiting_backends(self):
        """Returns the set of handles that something waits for, backends among them."""
        in_rounds = (open_round.reports for open_round in self.rounds.values())
        return {handle for handle, _ in self.waiting}.union(*in_rounds)

    def drop_oldest(self, count):
        """Drops the oldest events that wait.

        Args:
            count: How many at most.

        Returns:
            How many were dropped.
        """
        oldest = list(self.waiting)[:count]
        for key in oldest:
            del self.waiting[key]
        self.dropped += len(oldest)
        return len(oldest)

    def proxy_left(self, proxy):
        """Forgets a proxy's arrivals: they tell nothing of what will come."""
        for key in [key for key in self.waiting if key[0] is proxy]:
            del self.waiting[key]
        for reported_at in self._reported_at.values():
            reported_at.pop(proxy, None)
