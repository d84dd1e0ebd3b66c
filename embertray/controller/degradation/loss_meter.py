"""Measures the lost share of first demand over all request kinds, weighted by credit, without I/O."""

from .first_demand import FirstDemand

NS_PER_SECOND = 10**9
STALE_CYCLES = 3  # report cycles after which a proxy's load is ignored: it has missed two reports
SMOOTHING_CYCLES = 2  # report cycles over which a fall of demand is smoothed


class ProxyLoad:
    """A proxy's last load report of one request kind, as rates in requests a second.

    Args:
        reported_at: When the report was received, ns.
        arriving: Arriving requests.
        admitted: Requests that were not rejected.
        failed: Admitted requests that failed.
        marked: Requests marked as first attempts; None: clients mark none.
    """

    __slots__ = ("admitted", "arriving", "failed", "marked", "reported_at")

    def __init__(self, reported_at, arriving, admitted, failed, marked):
        self.reported_at = reported_at
        self.arriving = arriving
        self.admitted = admitted
        self.failed = failed
        self.marked = marked


class LossMeter:
    """Measures the lost share of credit of one controller's proxies.

    Args:
        kinds: The RequestKinds.
        report_interval: The proxies' report cycle, ns.
        levels_are_rates: Whether admission levels are requests a second; otherwise they are shares of the
            arrivals.

    Attributes:
        loads: Request kind -> proxy -> ProxyLoad.
        demand: Request kind -> FirstDemand.
    """

    def __init__(self, kinds, report_interval, levels_are_rates):
        self.kinds = kinds
        self.report_interval = report_interval
        self.levels_are_rates = levels_are_rates
        self.loads = {kind: {} for kind in kinds}
        self.demand = {kind: FirstDemand() for kind in kinds}
        self._measured_at = None  # ns

    def observe(self, now, proxy, kind, requests, failed, span, level, repeats=None):
        """Records one request kind of a proxy's load report.

        Args:
            now: ns.
            proxy: The proxy.
            kind: The request kind.
            requests: Number of arriving requests.
            failed: Number of admitted requests that failed.
            span: The time that the report covers, ns.
            level: The ordered admission level; None: no limit.
            repeats: Number of requests marked as retries; None: clients mark none.
        """
        if span <= 0:
            return
        arriving = requests * NS_PER_SECOND / span
        admitted = self._admitted(arriving, level)
        marked = None if repeats is None else max(0, requests - repeats) * NS_PER_SECOND / span
        failing = min(admitted, failed * NS_PER_SECOND / span)
        self.loads[kind][proxy] = ProxyLoad(now, arriving, admitted, failing, marked)

    def _admitted(self, arriving, level):
        if level is None:
            return arriving
        if self.levels_are_rates:
            return min(arriving, level)
        return arriving * min(1.0, level)

    def proxy_left(self, proxy):
        """Forgets a proxy whose stream ended."""
        for loads in self.loads.values():
            loads.pop(proxy, None)

    def lost_share(self, now):
        """Measures the loss and updates the estimates of first demand.

        Args:
            now: ns.

        Returns:
            The lost share of the credit of first demand, 0 to 1; None: no load report is recent enough.
        """
        demanded = 0.0
        served = 0.0
        any_load = False
        periods = self._periods_since_last(now)
        for kind in self.kinds:
            loads = self._recent_loads(now, kind)
            if not loads:
                continue
            any_load = True
            demanded_rate, served_rate = self._rates(kind, loads, periods)
            demanded += kind.credit * demanded_rate
            served += kind.credit * served_rate
        if not any_load:
            return None  # without reports, the estimates of first demand stay unchanged
        self._measured_at = now
        return max(0.0, 1 - served / demanded) if demanded > 0 else 0.0

    def load_count(self):
        """Returns the number of stored ProxyLoads."""
        return sum(map(len, self.loads.values()))

    def _periods_since_last(self, now):
        """Returns the time since the last measurement in periods of SMOOTHING_CYCLES; 0 at the first."""
        if self._measured_at is None:
            return 0.0
        return (now - self._measured_at) / (SMOOTHING_CYCLES * self.report_interval)

    def _recent_loads(self, now, kind):
        oldest = now - STALE_CYCLES * self.report_interval
        return [load for load in self.loads[kind].values() if load.reported_at > oldest]

    def _rates(self, kind, loads, periods):
        """Returns (first demand, served part of it) of a request kind, in requests a second."""
        arriving = sum(load.arriving for load in loads)
        served = sum(load.admitted - load.failed for load in loads)
        all_marked = all(load.marked is not None for load in loads)
        marked = sum(load.marked for load in loads) if all_marked else None
        demand = self.demand[kind]
        demand.update(periods, arriving, arriving - served, marked)
        demanded = min(demand.rate, arriving)  # requests that no longer arrive are not lost
        return demanded, min(served, demanded)
