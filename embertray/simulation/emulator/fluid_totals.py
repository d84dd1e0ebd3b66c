"""Totals of the requests of a FluidSimulation's proxies since their last load reports."""

import numpy as np

from embertray.controller.stream.messages import ArrivalTotals, BackendTotals, LoadReport

from .fluid_tables import append_columns

# Requests; smaller sums are rounding errors.
MIN_FLOW = 1e-9


class FluidTotals:
    """Request totals since each proxy's last load report; fractions of requests are possible.

    Args:
        proxies: Number of proxies.
        kinds: The RequestKinds.
        now: ns.

    Attributes:
        attempts, failures: Attempts at backends, and those that failed; proxies x backends.
        latency: Sum over the attempts that were answered, ns; proxies x backends.
        arrivals, retries, lost: Requests of clients, those of them that are retries, and those lost;
            proxies x kinds.
    """

    def __init__(self, proxies, kinds, now):
        self.kinds = kinds
        self.attempts = np.zeros((proxies, 0))
        self.failures = np.zeros((proxies, 0))
        self.latency = np.zeros((proxies, 0))
        self.arrivals = np.zeros((proxies, len(kinds)))
        self.retries = np.zeros((proxies, len(kinds)))
        self.lost = np.zeros((proxies, len(kinds)))
        self._since = np.full(proxies, now)

    def add_columns(self, count):
        """Adds backends.

        Args:
            count: Their number.
        """
        self.attempts = append_columns(self.attempts, count)
        self.failures = append_columns(self.failures, count)
        self.latency = append_columns(self.latency, count)

    def clear(self, row, now):
        """Resets a proxy's totals.

        Args:
            row: The proxy's row.
            now: ns.
        """
        for array in (self.attempts, self.failures, self.latency, self.arrivals, self.retries, self.lost):
            array[row] = 0.0
        self._since[row] = now

    def draw_report(self, row, now, rng, backends):
        """Draws a load report and resets the proxy's totals.

        The totals are the means of the report's whole numbers, which vary as Poisson arrivals do.

        Args:
            row: The proxy's row.
            now: ns.
            rng: The random generator.
            backends: The SimulatedBackends, by column.

        Returns:
            The LoadReport.
        """
        backend_totals = self._draw_backend_totals(row, now, rng, backends)
        arrivals = [self._draw_arrivals(row, k, kind, rng) for k, kind in enumerate(self.kinds)]
        duration = int(now - self._since[row])
        self.clear(row, now)
        return LoadReport(duration, backend_totals, [totals for totals in arrivals if totals.requests])

    def _draw_backend_totals(self, row, now, rng, backends):
        attempts = self.attempts[row]
        columns = np.flatnonzero(attempts > MIN_FLOW)
        counts = rng.poisson(attempts[columns])
        backend_totals = []
        for column, count in zip(columns.tolist(), counts.tolist(), strict=True):
            if count:
                failed = self._draw_failures(row, column, count, rng)
                answered = max(MIN_FLOW, attempts[column] - self.failures[row, column])
                mean_latency = self.latency[row, column] / answered
                model = backends[column].model
                load = model.report(now) if model.state == "up" else {}
                latency = int(mean_latency * (count - failed))
                backend_totals.append(BackendTotals(model.name, count, failed, latency, load))
        return backend_totals

    def _draw_failures(self, row, column, count, rng):
        failures = self.failures[row, column]
        if failures <= 0:
            return 0
        return int(rng.binomial(count, min(1.0, failures / self.attempts[row, column])))

    def _draw_arrivals(self, row, k, kind, rng):
        retries = self.retries[row, k]
        first = max(0.0, self.arrivals[row, k] - retries)
        first, retries, lost = rng.poisson([first, retries, self.lost[row, k]]).tolist()
        return ArrivalTotals(kind.external_id, first + retries, lost, retries)
