"""Merges the proxies' load reports into events for the policy and limits their rate, without I/O.

The policy gets one event for each zone and backend, and one for each proxy and request kind. The reports of
a zone's proxies are collected in a round until each proxy has reported once, for at most one report cycle.
Their counts are added up, while the time that they cover counts once and not once for each proxy, so that an
event's rate is the zone's rate. At most `rate` events a second are released, the oldest first. Waiting events
are merged without loss: counts, latency sums and spans are added up, and the newest load values replace older
ones. With rate 0 all events are released at once.
"""

from .pending_reports import PendingArrivals, PendingReport, ReportRound

NS_PER_SECOND = 10**9
BURST_S = 0.25  # seconds of the rate that may be released at once: as much as one step of the policy can use
BURST_MIN = 1.0  # events; with a smaller burst, no event would ever be released
SILENT_CYCLES = 3  # report cycles after which rounds no longer wait for a silent proxy


class ReportIntake:
    """Queues and merges the load reports of one controller's proxies for the policy.

    Args:
        rate: Most events released a second; 0: no limit.
        now: ns.
        cycle: The proxies' report cycle, ns.

    Attributes:
        waiting: (backend, zone) -> PendingReport and (proxy, kind) -> PendingArrivals, the oldest first.
        rounds: Zone -> its open ReportRound.
        merged: Number of times that counts were added to a waiting event.
        released: Number of released events.
        unknown: Number of skipped parts of reports, which name an unknown backend or request kind.
        dropped: Number of events that were dropped for lack of memory.
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
        """Adds a proxy's load report.

        Args:
            now: ns.
            proxy: The proxy's handle.
            zone: The handle of its zone.
            report: The LoadReport.
            find_backend: Returns the handle of a backend's name, or None if no list had it; its counts are
                then skipped.
            find_kind: Returns the RequestKind of a name, or None if the site has none; its counts are then
                skipped.
        """
        self._close_overdue_rounds(now)
        self._add_attempts(now, proxy, zone, report, find_backend)
        self._add_arrivals(proxy, report, find_kind)

    def _add_attempts(self, now, proxy, zone, report, find_backend):
        """Adds a report's attempts to the zone's round; closes the round if no other proxy is awaited.

        Awaited are the zone's proxies that have reported before, except silent ones
        (`_close_overdue_rounds`).
        """
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

        A second report of a proxy closes the round even if other proxies are missing, since a round holds one
        report of each proxy.
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
        """Moves the reports of the zone's round to the waiting events."""
        closed = self.rounds.pop(zone)
        span = closed.mean_span()
        for backend, report in closed.reports.items():
            pending = self._pending((backend, zone), PendingReport)
            pending.add(report.attempts, report.failed, report.latency, report.load)
            pending.span += span

    def _close_overdue_rounds(self, now):
        """Closes rounds that have been open for a report cycle.

        Otherwise a proxy that falls silent without leaving would hold back its zone's reports for ever. Once
        it has been silent for SILENT_CYCLES, rounds no longer wait for it and close without delay.
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
        """Returns the events for the policy that the rate allows at `now` (ns), and removes them."""
        self._refill_tokens(now)
        self._close_overdue_rounds(now)
        events = []
        while self.waiting and (not self.rate or self._tokens >= 1):
            key = next(iter(self.waiting))
            event = self.waiting.pop(key).to_event(*key)
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
        """Returns when an event may be released or a round has to be closed next, ns; None: nothing waits."""
        close_at = min((opened.opened_at + self.cycle for opened in self.rounds.values()), default=None)
        if not self.waiting:
            return close_at
        release_at = self._tokens_at
        if self.rate and self._tokens < 1:
            release_at += int((1 - self._tokens) * NS_PER_SECOND / self.rate) + 1
        return release_at if close_at is None else min(release_at, close_at)

    def waiting_handles(self):
        """Returns the handles of all waiting events and open rounds; this includes proxies."""
        in_rounds = (open_round.reports for open_round in self.rounds.values())
        return {handle for handle, _ in self.waiting}.union(*in_rounds)

    def drop_oldest(self, count):
        """Drops the oldest waiting events.

        Args:
            count: Most events to drop.

        Returns:
            The number of dropped events.
        """
        oldest = list(self.waiting)[:count]
        for key in oldest:
            del self.waiting[key]
        self.dropped += len(oldest)
        return len(oldest)

    def proxy_left(self, proxy):
        """Drops the waiting arrivals of a proxy that left, since they do not predict future requests.

        Its attempts stay, since they describe backends, but rounds no longer wait for its reports.
        """
        for key in [key for key in self.waiting if key[0] is proxy]:
            del self.waiting[key]
        for reported_at in self._reported_at.values():
            reported_at.pop(proxy, None)
