"""Simulates a day as flows: in each step, real-valued numbers of requests are split by the routing tables.

The cost of a run depends on proxies x backends, and not on the number of requests. Controllers, tables,
channel and endpoint list are those of day_simulation.py; backends are models.backend.Backend, through
`serve_flow`.

Approximations: a request's second attempt goes to the average backend, not to a different one; waits are
distributed exponentially; a client's timeout is compared with the mean time, so that in a step all or none of
the requests of a kind to a backend time out. Round robin and power of two choices select by weight.
docs/measured/emulator.md compares the results with those of single requests.
"""

from collections import deque
from dataclasses import dataclass

import numpy as np

from embertray.simulation.standins.messages import Request

from .day_simulation import DaySimulation
from .engine import NS_PER_SECOND
from .fluid_backends import FluidBackends
from .fluid_outcomes import FluidOutcomes, second_of
from .fluid_proxy import FluidProxy
from .fluid_tables import FluidTables, append_columns
from .fluid_totals import FluidTotals

# A quarter of the shortest period of the policy.
STEP_NS = NS_PER_SECOND // 20
STEP_S = STEP_NS / NS_PER_SECOND
# Time from a failed attempt to the client's next one.
CLIENT_BACKOFF_NS = NS_PER_SECOND // 5
# Up to this retry level proxies retry nothing here; above it, they retry all failed requests once. Retries of
# requests that never ran (level 1) are not simulated.
RETRY_LEVEL = 1


@dataclass
class ClientRetry:
    """Requests that clients will retry.

    Attributes:
        when: Time of the retry, ns.
        flow: Number of requests; proxies x kinds.
        attempt: Number of the attempt, 2 for the first retry.
    """

    when: int
    flow: np.ndarray
    attempt: int


class FluidSimulation(DaySimulation):
    """A day whose requests are flows.

    Attributes:
        tables: The FluidTables.
        totals: The FluidTotals, since each proxy's last load report.
    """

    proxy = FluidProxy

    def prepare(self, shares):
        """Creates the arrays; the proxies exist, and none has dialled yet.

        Args:
            shares: Each proxy's share of the requests.
        """
        mix = self.mix()
        self.kinds = [kind for kind, _, _ in mix]
        self.retries = int(self.day.load["retries"])
        self.tables = FluidTables(self.count, self.kinds, self.site)
        self.totals = FluidTotals(self.count, self.kinds, self.engine.time)
        self._outcomes = FluidOutcomes(self.kinds, self.site.late_credit)
        self._fluid_backends = FluidBackends(mix, self.retries, STEP_NS)
        self._kind_shares = np.array([share for _, share, _ in mix])
        self._unrecorded = np.zeros(
            (self.count, 0)
        )  # fractions of requests to restricted backends, see _record
        self._recorded = 0
        self._client_retries = deque()
        self._rng = self.random_streams.of("flows")
        self._rates = [self.rate_function(n, self.day.rate * share) for n, share in enumerate(shares)]
        for row, proxy in enumerate(self.proxies):
            proxy.row = row

    def draw_report(self, row):
        """Draws a proxy's load report and resets its totals.

        Args:
            row: The proxy's row.

        Returns:
            The LoadReport.
        """
        return self.totals.draw_report(row, self.engine.time, self._rng, self.backends)

    def load(self, shares, until):
        """Starts the steps.

        Args:
            shares: Each proxy's share of the requests.
            until: When the load ends, ns.
        """
        self._step(until)

    def _step(self, until):
        now = self.engine.time
        self._add_columns()
        self.tables.refresh(self.proxies)
        if now < until:
            self._process_new(now)
        while self._client_retries and self._client_retries[0].when <= now:
            retry = self._client_retries.popleft()
            self._process(now, retry.flow, retry.attempt)
        if now < until or self._client_retries:
            self.engine.after(STEP_NS, self._step, until)

    def _add_columns(self):
        """Adds new backends to all arrays."""
        new = [backend.model.name for backend in self.backends[len(self.tables.columns) :]]
        if new:
            self.tables.add_columns(new)
            self.totals.add_columns(len(new))
            self._outcomes.add_rows(len(new))
            self._unrecorded = append_columns(self._unrecorded, len(new))

    def _process_new(self, now):
        rates = np.array([rate(now) for rate in self._rates])
        flow = (np.maximum(0.0, rates) * STEP_S)[:, None] * self._kind_shares
        for k, kind in enumerate(self.kinds):
            self._outcomes.counts[kind][0] += flow[:, k].sum()
        self._process(now, flow, 1)

    # ---- one step's requests

    def _process(self, now, flow, attempt):
        """Admits requests (proxies x kinds), splits them over the backends, and settles their outcomes."""
        self.totals.arrivals += flow
        if attempt > 1:
            self.totals.retries += flow
        paused = np.array([proxy.paused for proxy in self.proxies])
        admitted = flow * self.tables.admitted_part(flow, paused, STEP_S)
        by_backend = self.tables.weights.T @ admitted
        results = self._fluid_backends.process(
            now,
            self.backends,
            by_backend,
            lambda column, backend, work: self._record(now, column, backend, by_backend[column], work),
        )
        failed_part = self.tables.weights @ results.failed  # proxies x kinds, of what was admitted
        failing = self._failing_pairs()
        for k in range(len(self.kinds)):
            if failing is not None:
                failed_part[:, k] += self._add_pair_failures(k, admitted, results, failing)
            self._add_attempts(k, admitted, results)
            self._settle(now, k, flow, admitted, results, failed_part[:, k], attempt)
            answered = by_backend[:, k] * (1 - results.failed[:, k])
            self._outcomes.add_durations(k, answered, results.latency[:, k])

    def _add_pair_failures(self, k, admitted, results, failing):
        """Counts attempts at backends that fail for one proxy only.

        Returns:
            Their part of the admitted requests, by proxy.
        """
        each = self.tables.weights * admitted[:, k : k + 1]
        answered_part = 1 - results.failed[:, k]
        self.totals.failures += each * failing * answered_part
        return (self.tables.weights * failing * answered_part).sum(axis=1)

    def _add_attempts(self, k, admitted, results):
        each = self.tables.weights * admitted[:, k : k + 1]
        self.totals.attempts += each
        self.totals.failures += each * results.failed[:, k]
        self.totals.latency += each * ((1 - results.failed[:, k]) * results.latency[:, k])

    def _settle(self, now, k, flow, admitted, results, failed_part, attempt):
        """Counts the outcomes of one kind's requests, and schedules their clients' retries."""
        kind = self.kinds[k]
        admitted_k = admitted[:, k]
        failed = admitted_k * failed_part
        retried_successfully = 0.0
        retried = self._retried_by_proxies(k, failed)
        if attempt == 1 and retried.any():
            failed = failed - retried * (1 - failed_part)
            retried_successfully = (retried * (1 - failed_part)).sum()
        self.totals.lost[:, k] += failed
        answered = admitted_k * (1 - failed_part)
        in_time_part = self.tables.weights @ ((1 - results.failed[:, k]) * (1 - results.late[:, k]))
        in_time = np.minimum(admitted_k * in_time_part, answered)
        done = in_time.sum() + retried_successfully
        late = max(0.0, (answered - in_time).sum())
        rejected = flow[:, k] - admitted_k
        lost, sent_again = self._split_unsuccessful(kind, rejected, failed, attempt)
        asked = flow[:, k].sum() if attempt == 1 else 0.0
        self._outcomes.add(second_of(now, self.load_start), kind, asked, done, late, lost)
        if sent_again.any():
            retry_flow = np.zeros_like(flow)
            retry_flow[:, k] = sent_again
            self._client_retries.append(ClientRetry(now + CLIENT_BACKOFF_NS, retry_flow, attempt + 1))

    def _retried_by_proxies(self, k, failed):
        """The failed requests that proxies retry, by proxy."""
        level = self.tables.retry_levels[:, k]
        part = np.minimum(1.0, level - RETRY_LEVEL)
        return np.where(level >= RETRY_LEVEL + 1, failed * part, 0.0)

    def _split_unsuccessful(self, kind, rejected, failed, attempt):
        """Splits requests without an answer into those lost and those that clients retry.

        Rejected requests never ran, so they may be retried whatever their kind.

        Returns:
            (requests lost, retried requests by proxy).
        """
        if kind.again == "non-replayable":
            lost = failed.sum()
            sent_again = rejected + 0.0
        else:
            lost = 0.0
            sent_again = rejected + failed
        if attempt > self.retries:
            return lost + sent_again.sum(), 0.0 * sent_again
        return lost, sent_again

    def _failing_pairs(self):
        """1 where a backend fails for that proxy only, proxies x backends; None if there is no such pair."""
        affected = [
            (column, backend) for column, backend in enumerate(self.backends) if backend.failing_proxies
        ]
        if not affected:
            return None
        failing = np.zeros_like(self.tables.weights)
        for column, backend in affected:
            for row, proxy in enumerate(self.proxies):
                failing[row, column] = proxy.name in backend.failing_proxies
        return failing

    # ---- events that the rules check

    def _record(self, now, column, backend, flows, work):
        """Records whole requests to a backend that is warming up, draining or gone."""
        if not self.watched or not self._is_restricted(now, backend.model):
            return
        total = flows.sum()
        if total <= 0:
            return
        weights = self.tables.weights[:, column]
        unrecorded = self._unrecorded[:, column]
        unrecorded += weights / weights.sum() * total
        for row in np.flatnonzero((unrecorded >= 1) & (weights > 0)):
            proxy = self.proxies[row]
            whole = int(unrecorded[row])
            unrecorded[row] -= whole
            if not proxy.paused:
                self._record_one(now, proxy, backend.model, int(whole * work))

    def _is_restricted(self, now, model):
        entry = self.inventory.entries.get(model.name)
        warm_up = model.shape.warm_up_time + self.site.overload_time
        warming_up = model.started and now - model.started < warm_up
        return entry is None or entry.state != "ready" or bool(warming_up)

    def _record_one(self, now, proxy, model, work):
        self._recorded += 1
        number = self._recorded
        request = Request(number, self.kinds[0].external_id, work, NS_PER_SECOND, 1, proxy.name)
        self.observer.sent(now, proxy.name, model.name, request, (number, 1))

    # ---- results

    def outcome_counts(self):
        """The outcomes of all requests.

        Returns:
            kind -> (asked, done, late, lost).
        """
        return {kind: tuple(counts) for kind, counts in self._outcomes.counts.items()}

    def latency_histogram(self):
        """The durations of requests, by each step's mean at each backend.

        Returns:
            A histogram, us.
        """
        return self._outcomes.durations

    def credit_by_second(self):
        """Credit by the time of the attempt: retries count in the second of the retry.

        Returns:
            For each second, the earned part of the credit asked for, or None where there were no requests.
        """
        return self._outcomes.earned_by_second()
