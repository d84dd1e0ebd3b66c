"""A fleet of proxies and backends whose requests are flows: counts per report cycle instead of objects.

The proxies talk to a real controller: they dial, hold tables, acknowledge orders and send load reports. Each
report cycle, a proxy's request count is drawn from a Poisson distribution and split over the backends by
weight. The backends are models.backend.Backend, through `serve_flow`.
"""

from dataclasses import dataclass

from embertray.controller.stream.messages import ArrivalTotals, BackendTotals, LoadReport
from embertray.simulation.models.backend import Backend, Shape

from .engine import NS_PER_SECOND
from .flow_proxy import FlowProxy

# Cores of a backend.
CORES = 2
# Time until a client gives up a request.
CLIENT_TIMEOUT_NS = 2 * NS_PER_SECOND
# Number of values of each of the last three octets, and of ports, in backend addresses.
ADDRESS_OCTET_VALUES = 250
ADDRESS_PORTS = 1000


def flow_backend_address(number):
    """The address of a backend.

    Args:
        number: Its number, from 1.

    Returns:
        Its IP address and port.
    """
    high = number // ADDRESS_OCTET_VALUES**2 % ADDRESS_OCTET_VALUES
    middle = number // ADDRESS_OCTET_VALUES % ADDRESS_OCTET_VALUES
    low = number % ADDRESS_OCTET_VALUES + 1
    return f"127.{high}.{middle}.{low}:9{number % ADDRESS_PORTS:03}"


@dataclass
class ProxyCycle:
    """One proxy's requests in one report cycle.

    Attributes:
        proxy: The FlowProxy.
        requests: Number of requests.
        attempts: Number of them at each backend, by name; empty: the proxy has no tables.
    """

    proxy: FlowProxy
    requests: int
    attempts: dict


class FlowFleet:
    """Backends, and proxies that dial one controller.

    Args:
        net: The network on which proxies dial.
        clock: The clock.
        address: The controller's address.
        rng: The random generator of requests.
        inventory: The endpoint list to which backends are added.
        kinds: External ids of the request kinds.
        cycle: A report cycle, ns.
        work: Mean work of a request, ns of a core of speed 1.

    Attributes:
        backends: Backend by name.
        proxies: FlowProxy by name.
        group: The task group of the proxies; set before the first is added.
        requests: Requests so far.
        failures: Requests that failed at a backend.
        unrouted: Requests to a proxy without tables.
        backends_added: Backends added so far.
        proxies_added: Proxies added so far.
    """

    def __init__(
        self, net, clock, address, rng, inventory, kinds, cycle=NS_PER_SECOND, work=NS_PER_SECOND // 8
    ):
        self.net = net
        self.clock = clock
        self.address = address
        self.rng = rng
        self.inventory = inventory
        self.kinds = kinds
        self.cycle = cycle
        self.work = work
        self.backends = {}
        self.proxies = {}
        self.group = None
        self.requests = 0
        self.failures = 0
        self.unrouted = 0
        self.backends_added = 0
        self.proxies_added = 0

    def add_backend(self, zone, capacity, started=0, cold_speed=1.0, warm_up_time=0):
        """Starts a backend under a new name, and adds it to the endpoint list.

        Args:
            zone: Its zone.
            capacity: Requests a second that it can process.
            started: When it started, ns; 0: long ago, so that it is warm.
            cold_speed: Its speed at the start, as a part of its full speed.
            warm_up_time: Time until its full speed, ns.

        Returns:
            Its name.
        """
        self.backends_added += 1
        name = flow_backend_address(self.backends_added)
        speed = capacity * self.work / (CORES * NS_PER_SECOND)
        backend = Backend(name, zone, Shape(CORES, speed, cold_speed=cold_speed, warm_up_time=warm_up_time))
        self.backends[name] = backend
        backend.start(started, cold=bool(started))
        self.inventory.list(name, zone, "ready", started)
        return name

    def add_proxy(self, zone, rate):
        """Starts a proxy under a new name.

        Args:
            zone: Its zone.
            rate: Requests a second.

        Returns:
            The FlowProxy.
        """
        self.proxies_added += 1
        proxy = FlowProxy(f"px-{self.proxies_added}", zone, rate, self)
        self.proxies[proxy.name] = proxy
        self.group.start_soon(proxy.run)
        return proxy

    async def tick(self):
        """Simulates one report cycle: draws requests, processes them at the backends, sends load reports."""
        now = self.clock.now()
        cycles = [self._draw(proxy) for proxy in self.proxies.values()]
        arrivals = self._arrivals(cycles)
        results = {
            name: backend.serve_flow(now, self.cycle, arrivals.get(name, 0), self.work, CLIENT_TIMEOUT_NS)
            for name, backend in self.backends.items()
        }
        loads = {name: backend.report(now) for name, backend in self.backends.items()}
        for cycle in cycles:
            backend_totals = [
                self._backend_totals(name, count, results.get(name), loads.get(name, {}))
                for name, count in cycle.attempts.items()
            ]
            self.failures += sum(totals.failed for totals in backend_totals)
            cycle.proxy.report(LoadReport(self.cycle, backend_totals, self._arrival_totals(cycle.requests)))

    def _draw(self, proxy):
        """Draws a proxy's requests, and splits them by the weights of its tables."""
        count = int(self.rng.poisson(proxy.rate * self.cycle / NS_PER_SECOND))
        weights = proxy.routing_state.routable_lines()
        self.requests += count
        if not weights:
            self.unrouted += count
            return ProxyCycle(proxy, count, {})
        total = sum(weights.values())
        spread = self.rng.multinomial(count, [weight / total for weight in weights.values()])
        attempts = {name: int(part) for name, part in zip(weights, spread, strict=True) if part}
        return ProxyCycle(proxy, count, attempts)

    @staticmethod
    def _arrivals(cycles):
        """Number of requests at each backend, by name."""
        arrivals = {}
        for cycle in cycles:
            for name, count in cycle.attempts.items():
                arrivals[name] = arrivals.get(name, 0) + count
        return arrivals

    @staticmethod
    def _backend_totals(name, count, result, load):
        """A proxy's totals at one backend; without a result the backend is gone, and all requests failed."""
        if result is None:
            return BackendTotals(name, count, count, 0, load)
        failed = round(count * (1 - result.done))
        return BackendTotals(name, count, failed, (count - failed) * result.latency, load)

    def _arrival_totals(self, requests):
        """Splits requests evenly over the kinds; the first kind gets the remainder."""
        counts = [requests // len(self.kinds)] * len(self.kinds)
        counts[0] += requests - sum(counts)
        return [ArrivalTotals(kind, count, 0) for kind, count in zip(self.kinds, counts, strict=True)]
